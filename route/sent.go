package route

import "time"

// Sent is one request at a candidate, counted in the candidate's statistics
// from Begin to End. It is used by one goroutine at a time and not copied.
type Sent struct {
	stats   *Stats
	suspect bool
	waiting bool
}

// Begin counts a request as sent to c. Call it before the request leaves, so
// that the next pick already sees it; each Begin needs one End.
func (c *Candidate) Begin(q *Query) Sent {
	s := Sent{stats: c.Stats, suspect: q.Suspect, waiting: len(q.Blocks) > 0}
	s.stats.inFlight.Add(1)
	if s.suspect {
		s.stats.suspects.Add(1)
	}
	if s.waiting {
		s.stats.waiting.Add(1)
	}
	return s
}

// FirstToken notes that the first token came, so long after the request was sent.
func (s *Sent) FirstToken(took time.Duration) {
	if s.stats == nil {
		return
	}
	s.stats.ObserveFirstToken(took)
	s.stopWaiting()
}

// End counts the end of the request, whatever its outcome. Further calls do nothing.
func (s *Sent) End() {
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

func (s *Sent) stopWaiting() {
	if s.waiting {
		s.waiting = false
		s.stats.waiting.Add(-1)
	}
}
