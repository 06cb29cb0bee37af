package directory

import "time"

const (
	// maxRest bounds the rest that a server gets. Servers that are in need for longer are
	// replaced; a longer time is a mistake, and would keep a sound server idle for as long as
	// it runs.
	maxRest = 5 * time.Minute
	// afterRestInterval is the time between two requests to a server whose rest is over,
	// until it has answered one. All that has waited for it would come at once otherwise.
	afterRestInterval = 250 * time.Millisecond
)

// rest is a time for which a server wants no requests from this process. It says nothing of
// other processes' requests.
type rest struct {
	until   time.Time
	trialAt time.Time // of the newest request after its end; zero: none
}

// ReportRest records that an answer of the server has asked for rest. It returns for how long
// the server gets nothing, and whether that is a new rest. A longer one that has been asked
// for before holds.
func (s *Server) ReportRest(d time.Duration, now time.Time) (granted time.Duration, isNew bool) {
	granted = min(d, maxRest)
	next := &rest{until: now.Add(granted)}
	for {
		old := s.rest.Load()
		if old != nil && !next.until.After(old.until) {
			return granted, false
		}
		if s.rest.CompareAndSwap(old, next) {
			return granted, old == nil || !now.Before(old.until)
		}
	}
}

// ReportServed records that the server took a request that was sent at sentAt. It ends what
// is left of a rest only if the request was sent after the rest's end.
func (s *Server) ReportServed(sentAt time.Time) {
	if r := s.rest.Load(); r != nil && sentAt.After(r.until) {
		s.rest.CompareAndSwap(r, nil)
	}
}

// Resting reports whether the server gets no request now: it rests or is suspended, or has got
// one after that a moment ago and has not answered yet.
func (s *Server) Resting(now time.Time) bool {
	if s.isSuspended(now) {
		return true
	}
	r := s.rest.Load()
	return r != nil && (now.Before(r.until) || now.Sub(r.trialAt) < afterRestInterval)
}

// TakeTurn reports whether a request may be sent to the server now, and takes the turn if
// the server's rest or suspension is just over.
func (s *Server) TakeTurn(now time.Time) bool {
	r := s.rest.Load()
	switch {
	case s.Resting(now) || !s.takeTrial(now):
		return false
	case r == nil:
		return true
	default:
		return s.rest.CompareAndSwap(r, &rest{until: r.until, trialAt: now})
	}
}

// AllRestUntil returns when the first of the servers that could take a request ends its rest;
// false: one of them does not rest, or there is none.
func (d *Directory) AllRestUntil(q Query, now time.Time) (time.Time, bool) {
	var soonest time.Time
	for _, s := range d.view.Load().Service(q.Service) {
		if s.Draining() || s.IsDown(now) || !q.admits(s) {
			continue
		}
		r := s.rest.Load()
		if r == nil || !s.Resting(now) {
			return time.Time{}, false
		}
		if soonest.IsZero() || r.until.Before(soonest) {
			soonest = r.until
		}
	}
	return soonest, !soonest.IsZero()
}
