package directory

import "time"

const (
	// firstSuspension is about how long a link that refuses connections is disturbed at least. A
	// trial that is refused again reaches nobody.
	firstSuspension = 500 * time.Millisecond
	// maxSuspension bounds the time between two trials: a sound server is back in use that soon. It
	// is the first time too if another process has answered, which a trial would reach again.
	maxSuspension = lossRetryDelay
	// trialSpacing is the time between two trial requests, until one is answered.
	trialSpacing = 250 * time.Millisecond
)

// suspension is the time for which a server gets no requests because its address refused
// connections or answered 421. Its process has probably ended, but a link may refuse as well, and
// nothing but an answer shows that the process runs. While the server is listed it gets single
// requests as trials.
type suspension struct {
	since   time.Time     // of the loss
	until   time.Time     // of the next trial
	wait    time.Duration // doubled by each trial that fails
	trialAt time.Time     // of the newest trial; zero: none since the last failure
}

// suspend begins a suspension of at least wait, or prolongs it if a trial has failed. It reports
// whether it is new. Requests that were under way when it began are no trials.
func (s *Server) suspend(now time.Time, wait time.Duration) (isNew bool) {
	old := s.suspended.Load()
	switch {
	case old == nil:
		s.suspended.Store(&suspension{since: now, until: now.Add(wait), wait: wait})
	case !now.Before(old.until):
		wait = min(max(2*old.wait, wait), maxSuspension)
		s.suspended.Store(&suspension{since: old.since, until: now.Add(wait), wait: wait})
	}
	return old == nil
}

// isSuspended reports whether the server gets no request now, not even as a trial.
func (s *Server) isSuspended(now time.Time) bool {
	p := s.suspended.Load()
	return p != nil && (now.Before(p.until) || now.Sub(p.trialAt) < trialSpacing || s.hasSuccessor())
}

// hasSuccessor reports whether another server that is not suspended is listed at the address: it
// would answer a trial with 421, which is an arrival at the service for nothing.
func (s *Server) hasSuccessor() bool {
	other := s.sameAddress.Load()
	return other != nil && other.suspended.Load() == nil && !other.removed.Load()
}

// linkSameAddress tells the servers of a view under construction which other one is listed at
// their address.
func (v *View) linkSameAddress() {
	at := make(map[string]*Server, len(v.byID))
	for _, s := range v.byID {
		s.sameAddress.Store(nil)
		if other := at[s.Address]; other != nil {
			s.sameAddress.Store(other)
			other.sameAddress.Store(s)
		}
		at[s.Address] = s
	}
}

// takeTrial reports whether a request may be sent now as far as a suspension is concerned, and takes
// the trial if there is one.
func (s *Server) takeTrial(now time.Time) bool {
	p := s.suspended.Load()
	switch {
	case p == nil:
		return true
	case s.isSuspended(now):
		return false
	default:
		trial := *p
		trial.trialAt = now
		return s.suspended.CompareAndSwap(p, &trial)
	}
}

// MarkReached records that the server has answered a request as itself, which ends a suspension.
func (s *Server) MarkReached(now time.Time) {
	if s.suspended.Load() == nil {
		return
	}
	s.suspended.Store(nil)
	s.MarkAlive(now)
}
