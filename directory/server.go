// Package directory knows the backend servers: those that the platform lists,
// what this process has sent to each, and what it has seen of their health.
// It chooses one for each request.
package directory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Server is one start of a backend server with what this process knows of it.
// One Server lives as long as its start is the listed one; it is shared by all views.
type Server struct {
	Start
	Service string
	Address string
	Zone    string
	Slots   int

	draining atomic.Bool
	gone     atomic.Bool
	replaced atomic.Bool  // another start of its id is known: this process has ended
	warmAt   atomic.Int64 // Unix nanoseconds at which it is no longer cold
	provenAt atomic.Int64 // of its newest sign of life

	// Load that this process has put there.
	calls   atomic.Int64 // plain calls in flight
	prefill atomic.Int64 // prompt tokens of streams before their first event
	streams atomic.Int64 // streams in flight
	copies  atomic.Int64 // copies of streams that this process has directed there
	// Load that other entry VMs have put there, by their own word.
	otherStreams atomic.Int64
	otherCopies  atomic.Int64
	otherPrefill atomic.Int64
	hash         uint32       // short name of the start among entry VMs
	place        uint32       // of the id, the same for all its starts
	changed      func()       // called when the load of streams here changes
	told         atomic.Int64 // others' load by its last answer, in requests
	toldAt       atomic.Int64

	reading  reading    // of prompts
	times    *readTimes // of all starts at its address
	measured func(ReadTime)
	slowness atomic.Uint64 // bits of a float64, see compareSpeeds; 0: not compared yet

	// uneasy is set while there is anything against the server. A choice looks
	// at all servers, thousands on a large site, and takes the lock only of
	// these: 0.16 ms for 3,000 servers in place of 0.68 (BenchmarkPick).
	uneasy atomic.Bool

	mu     sync.Mutex    // guards the fields below
	down   chan struct{} // closed while it is believed lost; replaced when it is back
	downAt time.Time     // zero while it is believed alive
	byWord bool          // another process found it lost, not this one
	dead   bool          // its process is known to have ended
	// formerLoss is when the start before this one was found lost; zero: it wasn't.
	formerLoss time.Time
	crashed    crashes // of earlier starts
	faults     float64 // recent faults, halved each faultHalfLife
	faultAt    time.Time
}

func newServer(l Listing, now time.Time, changed func()) *Server {
	s := &Server{
		Start: l.Start(), Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: max(1, l.Slots),
		down: make(chan struct{}), faultAt: now, hash: l.Start().Hash(), place: Hash(l.ID), changed: changed, times: &readTimes{},
	}
	s.provenAt.Store(now.UnixNano())
	return s
}

const (
	// faultHalfLife is how fast a fault is forgotten: a server that fails part
	// of its requests does so for some seconds, and one fault must not keep a
	// sound server out of work for longer than a few requests take.
	faultHalfLife = 3 * time.Second
	// revivedAfter is how long a lost server gets nothing. One that crashed comes
	// back as another start, and its old entry lapses in about this time; one that
	// was cut off is tried again.
	revivedAfter = 4 * time.Second
)

// Draining tells whether it takes no new work.
func (s *Server) Draining() bool { return s.draining.Load() || s.gone.Load() }

// Ended tells whether its process is known to have ended.
func (s *Server) Ended() bool {
	if !s.uneasy.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// Try returns a channel that is closed when the server is next found lost. What
// was known against it before no longer counts.
func (s *Server) Try() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revive()
	return s.down
}

// Down returns a channel that is closed while the server is believed lost. It
// is nil when a loss is over but no request has tried the server since: the
// channel of that loss stays closed, and whoever waits on it would be woken
// without end.
func (s *Server) Down() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.downAt.IsZero() && !s.downLocked(time.Now()) {
		return nil
	}
	return s.down
}

// Lost notes that the server doesn't answer or broke its connections. It
// reports whether that is news.
func (s *Server) Lost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byWord = false
	return s.lostLocked(now)
}

func (s *Server) lostLocked(now time.Time) (news bool) {
	news = s.downAt.IsZero()
	s.downAt = now
	s.uneasy.Store(true)
	if news {
		close(s.down)
	}
	return news
}

// toldLost notes that another process found the server lost. It is news once: a
// loss is told several times, and each word would make it seem newer.
func (s *Server) toldLost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.downLocked(now) {
		return
	}
	s.byWord = true
	s.lostLocked(now)
}

// lostHere tells whether this process itself found the server lost at most d ago.
func (s *Server) lostHere(now time.Time, d time.Duration) bool {
	if !s.uneasy.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.byWord && !s.downAt.IsZero() && now.Sub(s.downAt) < d
}

// Alive notes an answer.
func (s *Server) Alive(now time.Time) {
	s.provenAt.Store(now.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revive()
}

// Dead notes that the process has ended: its address refuses connections or
// belongs to another start. This start never comes back.
func (s *Server) Dead(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uneasy.Store(true)
	s.dead = true
	if !s.downAt.IsZero() {
		// The time of its loss stands: it dates the loss of its zone.
		return false
	}
	s.downAt = now
	close(s.down)
	return true
}

// revive forgets a loss. A start that was replaced has ended for good: answers
// to what was sent to it come from the process that has its address now.
func (s *Server) revive() {
	if !s.downAt.IsZero() && !s.replaced.Load() {
		s.downAt = time.Time{}
		s.byWord, s.dead = false, false
		s.down = make(chan struct{})
		s.settle()
	}
}

// settle ends the doubt if nothing is held against the server any more.
func (s *Server) settle() {
	s.uneasy.Store(!s.downAt.IsZero() || s.faults != 0 || !s.formerLoss.IsZero() || s.crashed.count != 0)
}

// IsDown tells whether it is believed lost.
func (s *Server) IsDown(now time.Time) bool {
	if !s.uneasy.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downLocked(now)
}

func (s *Server) downLocked(now time.Time) bool {
	return s.dead || (!s.downAt.IsZero() && now.Sub(s.downAt) < revivedAfter)
}

// WasDownWithin tells whether it, or the start before it, was lost at most d ago.
func (s *Server) WasDownWithin(now time.Time, d time.Duration) bool {
	_, lost := s.lostSince(now, d)
	return lost
}

// Heard notes one more sign of life of a server that is in use. It takes no lock.
func (s *Server) Heard(now time.Time) { s.provenAt.Store(now.UnixNano()) }

// LastSign returns when it last gave a sign of life to this process.
func (s *Server) LastSign() time.Time { return time.Unix(0, s.provenAt.Load()) }

// provenSince tells whether it has given a sign of life after at.
func (s *Server) provenSince(at time.Time) bool { return s.provenAt.Load() > at.UnixNano() }

// lostSince returns when it, or else the start before it, was found lost, if that
// is at most d ago.
func (s *Server) lostSince(now time.Time, d time.Duration) (time.Time, bool) {
	if !s.uneasy.Load() {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.formerLoss.IsZero() && now.Sub(s.formerLoss) >= zoneLossWindow {
		s.formerLoss = time.Time{}
		s.settle()
	}
	at := s.downAt
	if at.IsZero() {
		at = s.formerLoss
	}
	return at, !at.IsZero() && now.Sub(at) < d
}

// Fault notes a failed request; weight 1 is a broken or missing answer.
func (s *Server) Fault(now time.Time, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = s.decayed(now) + weight
	s.faultAt = now
	s.uneasy.Store(true)
}

// forgottenFault is what a fault of weight 1 has become after seven half-lives:
// a hundredth of a prompt in the choice.
const forgottenFault = 0.01

// Faults returns the recent faults.
func (s *Server) Faults(now time.Time) float64 {
	if !s.uneasy.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.decayed(now)
	if left < forgottenFault {
		s.faults = 0
		s.settle()
		return 0
	}
	return left
}

func (s *Server) decayed(now time.Time) float64 {
	return s.faults * math.Exp2(-float64(now.Sub(s.faultAt))/float64(faultHalfLife))
}

// listed takes in a new listing of the same start.
func (s *Server) listed(l Listing) {
	if l.Draining {
		s.draining.Store(true)
	}
	s.gone.Store(false)
}
