package explain

import "time"

// Cause is why a request was not in time, by the rules of a summary.
type Cause string

// Causes, each with the lines that show it.
const (
	// CauseZoneLost: a server broke off or fell silent, and its zone lost several
	// servers about then (PY2724, PY2726).
	CauseZoneLost Cause = "zone_lost"
	// CauseServerLost: the same of a single server.
	CauseServerLost Cause = "server_lost"
	// CauseServerSilent: it fell silent, but no process found it lost (PY2724).
	CauseServerSilent Cause = "server_silent"
	// CauseServerFailed: it answered with a failure of its own, or broke off in order.
	CauseServerFailed Cause = "server_failed"
	// CauseServerFull: it had no room (PY2724 with "busy").
	CauseServerFull Cause = "server_full"
	// CauseCopyReplaced: a stream's server was lost after its copy had been replaced,
	// or could not be (PY2729, PY2724). A copy made by a call lacks what came after it.
	CauseCopyReplaced Cause = "copy_replaced"
	// CauseNoCopy: a stream's prompt had to be read again without a word of its copy.
	CauseNoCopy Cause = "no_copy"
	// CauseQueue: nothing failed; it waited at its server, behind others.
	CauseQueue Cause = "queue"
	// CauseWave: as queue or admission, while or just after many more requests came
	// than usual.
	CauseWave Cause = "return_wave"
	// CausePause: nothing failed; its server paused between two events.
	CausePause Cause = "server_pause"
	// CauseStoodStill: as server_pause, but streams of several servers paused for the
	// same time at one process: the process itself, its VM or its network stood still.
	CauseStoodStill Cause = "process_stood_still"
	// CauseAdmission: refused, as no server would finish it in time (PY2721).
	CauseAdmission Cause = "admission"
	// CauseNoServer: no server is known, or all refused.
	CauseNoServer Cause = "no_server"
	// CauseRetries: the retry budget was spent.
	CauseRetries Cause = "out_of_retries"
	// CauseCrashes: refused, as it had crashed several servers (PY2727).
	CauseCrashes Cause = "crashes_servers"
	// CauseStop: a planned stop refused or cut it (PY2756, PY2734).
	CauseStop Cause = "stop"
	// CauseStart: its process had just started (PY2751).
	CauseStart Cause = "start"
	// CauseStore: the same, and it did not hear from the store (PY2702, PY2711).
	CauseStore Cause = "store_away"
	// CauseProcessGone: its process ended without a word.
	CauseProcessGone Cause = "process_gone"
	// CauseCaller: the caller left, or the connection to it was lost.
	CauseCaller Cause = "caller"
	// CauseUnclear: no rule fits.
	CauseUnclear Cause = "unclear"
)

// Outcome is what became of a request, by its objective.
type Outcome uint8

// Outcomes.
const (
	InTime   Outcome = iota
	Late             // its whole answer, later than the objective
	Refused          // not run, and the caller was told so
	Failed           // neither
	Left             // the caller left before the objective had passed
	outcomes         // how many there are
)

// trouble is what lines before its end tell of a request.
type trouble struct {
	broken   *failedTry
	full     bool          // a server had no room
	failed   bool          // a server answered with its own failure
	copied   bool          // its copy was replaced, or that failed
	replaced bool          // so it was when a try failed
	reread   bool          // its prompt was read again
	resumed  bool          // it went on elsewhere
	pause    time.Duration // the longest that going on elsewhere cost
	process  int32
	running  bool  // PY2732 has named it
	at       int64 // second of the newest line
}

// failedTry is an attempt that its server broke off or left without an answer.
type failedTry struct {
	server string
	at     int64 // second
	silent bool
}

// ofTries returns the cause that failed attempts are, or "".
func (t *trouble) ofTries() Cause {
	switch {
	case t == nil:
		return ""
	case t.replaced:
		return CauseCopyReplaced
	case t.broken != nil:
		return CauseServerLost // the summary tells it from that of a zone
	case t.reread:
		return CauseNoCopy
	case t.failed:
		return CauseServerFailed
	case t.full:
		return CauseServerFull
	default:
		return ""
	}
}
