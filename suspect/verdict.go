package suspect

import "time"

// State is what the ledger thinks of a request.
type State string

// States of a request, by rising weight.
const (
	Clear       State = "clear"
	Suspect     State = "suspect"
	Quarantined State = "quarantined"
)

// Verdict answers what to do with a request before it is placed.
type Verdict struct {
	State  State
	Deaths int       // distinct deaths that count against it
	Until  time.Time // end of the quarantine
}

// RetryAfter is how long a quarantined request must stay away.
func (v Verdict) RetryAfter(now time.Time) time.Duration {
	if v.State != Quarantined {
		return 0
	}
	return v.Until.Sub(now)
}
