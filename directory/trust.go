package directory

import (
	"math"
	"time"
)

// crashHalfLife is how fast a crash of an earlier start is forgotten: a server
// that crashes each few seconds gathers several, one that is hit by the loss of
// its zone has forgotten it by the next.
const crashHalfLife = 6 * time.Second

// crashes counts the recent crashes of a server's starts, by its id.
//
// A server that crashes again and again is idle after each start, and would get work
// first. A single crash counts nothing: after the loss of a zone its servers are needed.
type crashes struct {
	count float64 // halved each crashHalfLife
	at    time.Time
}

func (c crashes) decayed(now time.Time) float64 {
	return c.count * math.Exp2(-float64(now.Sub(c.at))/float64(crashHalfLife))
}

// more returns the crashes with one more at a time.
func (c crashes) more(now time.Time) crashes { return crashes{c.decayed(now) + 1, now} }

// distrust returns the recent crashes of the server's earlier starts beyond one.
func (s *Server) distrust(now time.Time) float64 {
	if !s.uneasy.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.crashed.decayed(now)
	if left < forgottenFault {
		s.crashed = crashes{}
		s.settle()
	}
	return max(0, left-1)
}
