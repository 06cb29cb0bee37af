package route

import "time"

// Dispatch is one request at a candidate, counted in the candidate's statistics
// from Begin to End. It must be used by one goroutine at a time and must not be
// copied.
type Dispatch struct {
	stats   *Stats
	suspect bool
	waiting bool
}

// Begin counts a request as sent to c. Call it before sending the request, so that
// the next pick takes it into account. Each Begin needs one End.
func (c *Candidate) Begin(q *Query) Dispatch {
	s := Dispatch{stats: c.Stats, suspect: q.Suspect, waiting: len(q.Blocks) > 0}
	s.stats.inFlight.Add(1)
	if s.suspect {
		s.stats.suspects.Add(1)
	}
	if s.waiting {
		s.stats.waiting.Add(1)
	}
	return s
}

// FirstToken records that the first token arrived, the given time after the
// request was sent.
func (s *Dispatch) FirstToken(took time.Duration) {
	if s.stats == nil {
		return
	}
	s.stats.ObserveFirstToken(took)
	s.stopWaiting()
}

// End counts the end of the request, whatever its outcome. Further calls have no
// effect.
func (s *Dispatch) End() {
	if s.stats == nil {
		return
	}
	s.stopWaiting()
	s.stats.inFlight.Add(-1)
	if s.suspect {
		s.stats.suspects.Add(-1)
	}
	s.stats = nil
}

func (s *Dispatch) stopWaiting() {
	if s.waiting {
		s.waiting = false
		s.stats.waiting.Add(-1)
	}
}
