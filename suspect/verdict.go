package suspect

import "time"

// State is the state of a request in the ledger.
type State string

// Values of State, in ascending severity.
const (
	Clear       State = "clear"       // not suspected of any death
	Suspect     State = "suspect"     // suspected of a death, but may run under restrictions
	Quarantined State = "quarantined" // refused until the end of the quarantine
)

// Verdict tells the router whether a request may be placed.
type Verdict struct {
	State  State
	Deaths int       // distinct deaths that count against the request; one with strong evidence counts as two
	Until  time.Time // end of the quarantine; zero unless Quarantined
}

// RetryAfter returns the time until the quarantine ends, or 0 if there is none.
func (v Verdict) RetryAfter(now time.Time) time.Duration {
	if v.State != Quarantined {
		return 0
	}
	return v.Until.Sub(now)
}
