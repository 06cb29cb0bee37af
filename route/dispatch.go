package route

import "time"

// Dispatch is one request at a candidate, counted in the candidate's statistics
// from Begin to End. It must be used by one goroutine at a time and must not be
// copied.
type Dispatch struct {
	stats   *Stats // nil after End
	suspect bool   // counted in Stats.suspects
	waiting bool   // counted in Stats.waiting
}

// Begin counts a request as sent to c. Call it before sending the request, so that
// the next pick takes it into account. Each Begin needs one End. Only a request
// with prefix keys counts as waiting for its first token.
func (c *Candidate) Begin(q *Query) Dispatch {
	d := Dispatch{stats: c.Stats, suspect: q.Suspect, waiting: len(q.Blocks) > 0}
	d.stats.inFlight.Add(1)
	if d.suspect {
		d.stats.suspects.Add(1)
	}
	if d.waiting {
		d.stats.waiting.Add(1)
	}
	return d
}

// FirstToken records that the first token arrived, the given time after the
// request was sent.
func (d *Dispatch) FirstToken(took time.Duration) {
	if d.stats == nil {
		return
	}
	d.stats.ObserveFirstToken(took)
	d.stopWaiting()
}

// End counts the end of the request, whatever its outcome. Further calls have no
// effect.
func (d *Dispatch) End() {
	if d.stats == nil {
		return
	}
	d.stopWaiting()
	d.stats.inFlight.Add(-1)
	if d.suspect {
		d.stats.suspects.Add(-1)
	}
	d.stats = nil
}

func (d *Dispatch) stopWaiting() {
	if d.waiting {
		d.waiting = false
		d.stats.waiting.Add(-1)
	}
}
