package explain

import "time"

// Cause is why a request missed its objective, according to the rules of a summary.
type Cause string

// Causes, with the events that indicate each.
const (
	// CauseZoneLost: a server broke off the connection or stopped responding, and
	// its zone lost several servers at about that time (PY2724, PY2726).
	CauseZoneLost Cause = "zone_lost"
	// CauseServerLost: as CauseZoneLost, for a single server.
	CauseServerLost Cause = "server_lost"
	// CauseServerSilent: a server stopped responding, but no process reported it
	// lost (PY2724).
	CauseServerSilent Cause = "server_silent"
	// CauseServerFailed: a server answered with an error of its own, or closed the
	// connection properly before the answer was complete.
	CauseServerFailed Cause = "server_failed"
	// CauseServerBusy: a server had no free capacity (PY2724 with "busy").
	CauseServerBusy Cause = "server_full"
	// CauseCopyReplaced: a stream's server was lost after its KV copy had been
	// replaced, or after replacing it had failed (PY2729, PY2724). A replacement copy
	// lacks what was generated after the call that made it.
	CauseCopyReplaced Cause = "copy_replaced"
	// CauseNoCopy: a stream's prompt had to be processed again, and no event tells
	// what happened to its KV copy.
	CauseNoCopy Cause = "no_copy"
	// CauseQueue: nothing failed; the request was queued at its server.
	CauseQueue Cause = "queue"
	// CauseSurge: as queue or admission, during or just after a surge of requests.
	CauseSurge Cause = "return_wave"
	// CauseServerPause: nothing failed; the server paused between two events.
	CauseServerPause Cause = "server_pause"
	// CauseProcessStalled: as server_pause, but streams of several servers paused for
	// the same time in one process: the process, its VM or its network stalled.
	CauseProcessStalled Cause = "process_stood_still"
	// CauseAdmission: refused, because no server would have finished it in time, or it would
	// have begun after its objective behind more urgent ones (PY2721, PY2790).
	CauseAdmission Cause = "admission"
	// CauseNoServer: no server was known, or all refused the request.
	CauseNoServer Cause = "no_server"
	// CauseVersion: no server was left of the version that began the stream, or it was not
	// known which one did (PY2780).
	CauseVersion Cause = "version"
	// CauseRetryBudget: the retry budget was spent.
	CauseRetryBudget Cause = "out_of_retries"
	// CauseServerLimit: the backend servers were at the rate limits that they had named
	// (PY2745).
	CauseServerLimit Cause = "server_limit"
	// CauseServerRest: all backend servers had asked for rest (PY2765).
	CauseServerRest Cause = "server_rest"
	// CauseMemory: no backend server had memory for the stream (PY2721 or PY2722, PY2794).
	CauseMemory Cause = "server_memory"
	// CausePlaces: a plain call was refused, because all places of the backend servers were
	// taken and none became free in time (PY2721).
	CausePlaces Cause = "places_taken"
	// CauseQuarantined: refused or ended, because the request had crashed several servers (PY2727),
	// or may have and another copy of it was running (PY2721).
	CauseQuarantined Cause = "crashes_servers"
	// CauseStop: a planned stop refused or interrupted the request (PY2756, PY2734).
	CauseStop Cause = "stop"
	// CauseStart: the process had just started (PY2751).
	CauseStart Cause = "start"
	// CauseStoreUnavailable: as CauseStart, and the process could not reach the store
	// (PY2702, PY2711).
	CauseStoreUnavailable Cause = "store_away"
	// CauseProcessLost: the process ended without logging a stop.
	CauseProcessLost Cause = "process_gone"
	// CauseCaller: the caller left, or the connection to it was lost.
	CauseCaller Cause = "caller"
	// CauseUnclear: no rule fits.
	CauseUnclear Cause = "unclear"
)

// Outcome classifies how a request ended, measured against its objective.
type Outcome uint8

// Outcomes.
const (
	InTime   Outcome = iota
	Late             // answered in full, but later than the objective
	Refused          // not run, and the caller was told so
	Failed           // any other end
	Left             // the caller left before the objective had passed
	outcomes         // number of outcomes
)

// openRequest is what the lines read so far say about a request that has not ended.
type openRequest struct {
	failedAttempt   *failedAttempt // the newest; nil: none
	serverBusy      bool           // a server had no free capacity
	serverFailed    bool           // a server answered with an error of its own
	copyReplaced    bool           // its KV copy was replaced, or replacing it failed
	failedAfterCopy bool           // an attempt failed after copyReplaced was set
	promptReread    bool           // its prompt was processed again
	resumed         bool           // it was resumed on another server
	resumePause     time.Duration  // the longest pause that resuming caused
	process         int32          // index in Period.names
	running         bool           // listed as running (PY2732)
	lastSecond      int64          // Unix time of the newest line, in seconds
}

// failedAttempt is an attempt that the server broke off or did not answer.
type failedAttempt struct {
	server string
	second int64 // Unix time, in seconds
	silent bool  // the server stopped responding
}

// attemptCause returns the cause that the failed attempts indicate, or "".
func (o *openRequest) attemptCause() Cause {
	switch {
	case o == nil:
		return ""
	case o.failedAfterCopy:
		return CauseCopyReplaced
	case o.failedAttempt != nil:
		return CauseServerLost // builder.resolve may make it CauseZoneLost
	case o.promptReread:
		return CauseNoCopy
	case o.serverFailed:
		return CauseServerFailed
	case o.serverBusy:
		return CauseServerBusy
	default:
		return ""
	}
}
