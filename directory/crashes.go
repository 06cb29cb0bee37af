package directory

import (
	"math"
	"time"
)

// crashHalfLife is the half-life of a recorded crash: a server that crashes every few
// seconds accumulates several, and one that went down with its zone has none left by the
// next such loss.
const crashHalfLife = 6 * time.Second

// crashCount is a decaying count of the crashes of a server's starts, kept by its id.
//
// A server that crashes repeatedly is idle after each start and would get work first. A
// single crash does not count: after the loss of a zone its servers are needed.
type crashCount struct {
	value float64 // halved each crashHalfLife
	at    time.Time
}

func (c crashCount) decayed(now time.Time) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.at))/float64(crashHalfLife))
}

// plusOne returns the count with one more crash.
func (c crashCount) plusOne(now time.Time) crashCount { return crashCount{c.decayed(now) + 1, now} }

// excessCrashes returns the recent crashes of the server's earlier starts beyond the
// first.
func (s *Server) excessCrashes(now time.Time) float64 {
	if !s.hasIssues.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.crashes.decayed(now)
	if left < negligibleFault {
		s.crashes = crashCount{}
		s.updateHasIssues()
	}
	return max(0, left-1)
}
