// Package directory tracks the backend servers: those that the platform lists, the load
// that this process and its peers put on each, and their health as observed from here. It
// chooses a server for each request.
package directory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Server is one start of a backend server with what this process knows of it. All views
// share it as long as no other start of its id is known.
type Server struct {
	Start
	Service string
	Address string
	Zone    string
	Slots   int // number of requests that it runs at a time
	// slotsStated is set if its entry states that number, which is 1 otherwise.
	slotsStated bool

	version atomic.Pointer[string] // of its software; nil: unknown
	// versionAssumed is set if the version is that of the process which had the address
	// before, since the store can't be read.
	versionAssumed atomic.Bool
	rateLimit      atomic.Pointer[RateLimit] // nil: it has never named one
	draining       atomic.Bool
	saidLeaving    atomic.Bool               // it has said in an answer that it leaves, or was known to before the store came back from a copy
	doubtedUntil   atomic.Int64              // Unix nanoseconds until which its entry counts as one of a server that has left; 0: it doesn't
	rest           atomic.Pointer[rest]      // nil: it has asked for none, or has taken a request since
	removed        atomic.Bool               // it was dropped from the view, or another start replaced it
	replaced       atomic.Bool               // another start of its id is known: this process has ended
	warmAt         atomic.Int64              // Unix nanoseconds at which it is no longer cold
	sameAddress    atomic.Pointer[Server]    // another server that is listed at its address; nil: none
	lastSignAt     atomic.Int64              // Unix nanoseconds of its newest sign of life, or of when its entry was read first
	ranAt          atomic.Pointer[time.Time] // newest moment at which it ran for certain; nil: none is known

	// Load that this process has put there.
	calls        atomic.Int64 // plain calls in flight
	queuedTokens atomic.Int64 // prompt tokens of streams that await their first event
	streams      atomic.Int64 // streams in flight
	copies       atomic.Int64 // copies of streams that this process has directed there
	// Load that other entry VMs have reported to have put there.
	peerStreams      atomic.Int64
	peerCopies       atomic.Int64
	peerQueuedTokens atomic.Int64
	startHash        uint32 // of the start; identifies it among entry VMs
	idHash           uint32 // of the id, the same for all its starts; determines its cell and partition
	onLoadChange     func() // called when the load of streams here changes
	onLimitChange    func() // called when its rate limit changes
	// onLeaving is called once, when it is first known to have said that it leaves.
	onLeaving     func(LeavingNews, time.Time)
	reportedCalls atomic.Int64 // other processes' requests according to its last response
	reportedAt    atomic.Int64 // Unix nanoseconds of that response
	mostRunning   atomic.Int64 // the most requests that it has reported to run
	peerCalls     atomic.Int64 // plain calls that other entry VMs have reported to have there
	hanging       hangingState
	suspended     atomic.Pointer[suspension] // nil: it has answered since its address last refused

	memory        serverMemory
	disturbanceMu sync.Mutex                  // held while a report is recorded
	disturbance   atomic.Pointer[disturbance] // nil: it has never reported one
	disturbances  *disturbances               // shared by all servers of the service
	onDisturbance func(*Server)               // called when it has reported a figure that peers don't expect

	prefillStats prefillStats
	samples      *prefillSamples   // shared by all starts at its address
	onSample     func(PrefillTime) // called with each sample of this process; may be nil
	slowness     atomic.Uint64     // bits of a float64, see compareSpeeds; 0: not compared yet
	perToken     atomic.Int64      // nanoseconds, see prefillTime

	// hasIssues is set while there is a loss, fault or crash on record. A choice looks at
	// all servers, thousands at a large site, and takes the lock of only those with
	// issues: 0.16 ms for 3,000 servers instead of 0.68 ms (BenchmarkPick).
	hasIssues atomic.Bool

	mu         sync.Mutex    // guards the fields below
	down       chan struct{} // closed when it is found lost; replaced when the loss is cleared
	downAt     time.Time     // time of the recorded loss; zero without one
	lossByPeer bool          // the loss was reported by a peer, not found here
	ended      bool          // its process has probably ended, see suspension
	// previousLossAt is when the previous start was found lost, which was previousLost; zero
	// if none was.
	previousLossAt time.Time
	previousLost   Start
	crashes        crashCount // of earlier starts
	faults         float64    // recent faults as of faultAt, halved each faultHalfLife
	faultAt        time.Time
}

func newServer(l Listing, now time.Time, onLoadChange func()) *Server {
	s := &Server{
		Start: l.Start(), Service: l.Service, Address: l.Address, Zone: l.Zone, Slots: max(1, l.Slots), slotsStated: l.Slots > 0,
		down: make(chan struct{}), faultAt: now, startHash: l.Start().Hash(), idHash: Hash(l.ID), onLoadChange: onLoadChange, onLimitChange: func() {}, onLeaving: func(LeavingNews, time.Time) {}, samples: &prefillSamples{},
		disturbances: newDisturbances(), onDisturbance: func(*Server) {},
	}
	s.lastSignAt.Store(now.UnixNano())
	s.setVersion(l.Version)
	return s
}

const (
	// faultHalfLife is the half-life of a recorded fault: a server that fails part of its
	// requests does so for some seconds, and a single fault must not keep a healthy
	// server out of use for longer than a few requests take.
	faultHalfLife = 3 * time.Second
	// lossRetryDelay is how long a lost server gets no requests. One that crashed comes
	// back as another start, and its old entry expires in about this time; one that was
	// cut off is tried again.
	lossRetryDelay = 4 * time.Second
)

// Version returns the version of its software; empty: unknown.
func (s *Server) Version() string {
	if v := s.version.Load(); v != nil {
		return *v
	}
	return ""
}

// setVersion records the version that an entry names. Entries passed on by older programs
// name none.
func (s *Server) setVersion(version string) {
	if version == "" {
		return
	}
	if version != s.Version() {
		s.version.Store(&version)
	}
	s.versionAssumed.Store(false)
}

// Draining reports whether it takes no new work.
func (s *Server) Draining() bool { return s.isToLeave() || s.removed.Load() || s.isDoubted() }

// Leaving reports whether its end is planned: it was to leave, or was taken off the list
// without another start in its place.
func (s *Server) Leaving() bool {
	return s.isToLeave() || s.isDoubted() || (s.removed.Load() && !s.replaced.Load())
}

// isToLeave reports whether its entry or an answer of its own has said that it leaves.
func (s *Server) isToLeave() bool { return s.draining.Load() || s.saidLeaving.Load() }

// isDoubted reports whether its entry has come back from a copy though it had left the list.
func (s *Server) isDoubted() bool {
	until := s.doubtedUntil.Load()
	return until != 0 && time.Now().UnixNano() < until
}

// Ended reports whether its process has probably ended: nothing was sent to it since its address
// refused connections or answered 421, or another start has replaced it.
func (s *Server) Ended() bool {
	if !s.hasIssues.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// BeginAttempt clears the recorded loss before a request to the server. It returns a
// channel that is closed when the server is next found lost.
func (s *Server) BeginAttempt() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearLoss()
	return s.down
}

// Down returns a channel that is closed while the server is considered lost. It returns
// nil if lossRetryDelay has passed since the loss but no request has been sent: the
// channel of that loss stays closed, and a waiter would spin on it.
func (s *Server) Down() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.downAt.IsZero() && !s.downLocked(time.Now()) {
		return nil
	}
	return s.down
}

// MarkLost records that the server does not respond or broke its connections. It reports
// whether that was new information.
func (s *Server) MarkLost(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossByPeer = false
	return s.markDownLocked(now)
}

func (s *Server) markDownLocked(now time.Time) (news bool) {
	news = s.downAt.IsZero()
	s.downAt = now
	s.hasIssues.Store(true)
	if news {
		close(s.down)
	}
	return news
}

// markDownByPeer records that a peer found the server lost. Repeated reports of the same
// loss are ignored, since each would make it look more recent.
func (s *Server) markDownByPeer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.downLocked(now) {
		return
	}
	s.lossByPeer = true
	s.markDownLocked(now)
}

// lostLocally reports whether this process itself found the server lost at most d ago.
func (s *Server) lostLocally(now time.Time, d time.Duration) bool {
	if !s.hasIssues.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lossByPeer && !s.downAt.IsZero() && now.Sub(s.downAt) < d
}

// MarkAlive records a response.
func (s *Server) MarkAlive(now time.Time) {
	s.lastSignAt.Store(now.UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clearLoss()
}

// MarkEnded records that the process has probably ended, as another one has answered at its
// address. It gets single requests as trials then, while it is listed. MarkEnded reports whether
// its loss was new information; a failed trial is none.
func (s *Server) MarkEnded(now time.Time) bool { return s.markEnded(now, maxSuspension) }

// MarkRefused is MarkEnded for a server whose address refuses connections.
func (s *Server) MarkRefused(now time.Time) bool { return s.markEnded(now, firstSuspension) }

func (s *Server) markEnded(now time.Time, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew := s.suspend(now, wait)
	s.hasIssues.Store(true)
	s.ended = true
	if !s.downAt.IsZero() {
		// Keep the time of its loss, which dates the loss of its zone.
		return false
	}
	s.downAt = s.suspended.Load().since
	close(s.down)
	return isNew
}

// clearLoss removes a recorded loss, also that of a process thought to have ended. Only a
// replaced start has ended for good: responses to requests sent to it come from the
// process that has its address now.
func (s *Server) clearLoss() {
	if !s.downAt.IsZero() && !s.replaced.Load() {
		s.downAt = time.Time{}
		s.lossByPeer, s.ended = false, false
		s.down = make(chan struct{})
		s.updateHasIssues()
	}
}

// updateHasIssues sets hasIssues from the fields that mu guards; mu must be held.
func (s *Server) updateHasIssues() {
	s.hasIssues.Store(!s.downAt.IsZero() || s.faults != 0 || !s.previousLossAt.IsZero() || s.crashes.value != 0)
}

// IsDown reports whether it is considered lost.
func (s *Server) IsDown(now time.Time) bool {
	if !s.hasIssues.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downLocked(now)
}

func (s *Server) downLocked(now time.Time) bool {
	if s.ended {
		p := s.suspended.Load()
		return s.replaced.Load() || p != nil && now.Before(p.until)
	}
	return !s.downAt.IsZero() && now.Sub(s.downAt) < lossRetryDelay
}

// MarkHeard records a sign of life of a server in use. It takes no lock.
func (s *Server) MarkHeard(now time.Time) { s.lastSignAt.Store(now.UnixNano()) }

// RecordAnswer records that the server itself has answered a request that was sent at sentAt. It
// ran then; when the answer was received says nothing, since it may have been under way for long.
func (s *Server) RecordAnswer(sentAt time.Time) {
	for {
		old := s.ranAt.Load()
		if old != nil && !sentAt.After(*old) || s.ranAt.CompareAndSwap(old, &sentAt) {
			return
		}
	}
}

// RanAt returns the newest moment at which it ran for certain, by both clocks; zero: none is known.
func (s *Server) RanAt() time.Time {
	if at := s.ranAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// LastHeard returns when it last gave a sign of life to this process.
func (s *Server) LastHeard() time.Time { return time.Unix(0, s.lastSignAt.Load()) }

// heardSince reports whether it has given a sign of life after at.
func (s *Server) heardSince(at time.Time) bool { return s.lastSignAt.Load() > at.UnixNano() }

// loss is when a start was found lost.
type loss struct {
	of Start
	at time.Time
}

// recentLoss returns its loss, or else that of the previous start, and whether that is at
// most d ago. The loss of the previous start is forgotten after zoneLossWindow.
func (s *Server) recentLoss(now time.Time, d time.Duration) (loss, bool) {
	if !s.hasIssues.Load() {
		return loss{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.previousLossAt.IsZero() && now.Sub(s.previousLossAt) >= zoneLossWindow {
		s.previousLossAt = time.Time{}
		s.updateHasIssues()
	}
	newest := loss{s.Start, s.downAt}
	if s.downAt.IsZero() {
		newest = loss{s.previousLost, s.previousLossAt}
	}
	return newest, !newest.at.IsZero() && now.Sub(newest.at) < d
}

// RecordFault records a failed request; weight 1 is a broken or missing response.
func (s *Server) RecordFault(now time.Time, weight float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = s.decayedFaults(now) + weight
	s.faultAt = now
	s.hasIssues.Store(true)
}

// negligibleFault is the decayed number of faults or crashes below which they are
// forgotten: what remains of a fault of weight 1 after seven half-lives. In the score it
// weighs a hundredth of a long prompt.
const negligibleFault = 0.01

// RecentFaults returns the decayed number of recent faults.
func (s *Server) RecentFaults(now time.Time) float64 {
	if !s.hasIssues.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.decayedFaults(now)
	if left < negligibleFault {
		s.faults = 0
		s.updateHasIssues()
		return 0
	}
	return left
}

func (s *Server) decayedFaults(now time.Time) float64 {
	return s.faults * math.Exp2(-float64(now.Sub(s.faultAt))/float64(faultHalfLife))
}

// update applies a new listing of the same start.
func (s *Server) update(l Listing) {
	if l.Draining {
		s.draining.Store(true)
	}
	s.setVersion(l.Version)
	s.removed.Store(false)
}
