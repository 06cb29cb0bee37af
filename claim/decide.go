package claim

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

const (
	// MaxAttempts limits the attempts that one request may claim.
	MaxAttempts = 5
	// MaxReads limits the reads of the claim row in one request.
	MaxReads = 8
	// MaxUnansweredVoids limits the consecutive unanswered void requests to a
	// sidecar in one request.
	MaxUnansweredVoids = 3

	// Times after which a refused caller may retry.
	retryAfterTableUnavailable = 2 * time.Second
	retryAfterNotRun           = time.Second
	retryAfterRunning          = time.Second
	retryAfterNoAnswer         = 5 * time.Second
)

// Begin returns the initial state and the first action of a request. The row is
// claimed without being read first: nearly all keys are new, and a conflict
// reveals the others.
func Begin(attempt types.AttemptTag, fingerprint types.Fingerprint) (State, Action) {
	s := State{Phase: PhaseClaim, Fingerprint: fingerprint, Attempt: attempt, Attempts: 1}
	return s, Action{Step: StepClaim}
}

// Next returns the state and the action that follow an observation.
func Next(s State, o Observation) (State, Action) {
	if o.Result == ResultExpired && !s.Forgotten {
		return s, expired(s)
	}
	switch s.Phase {
	case PhaseClaim:
		return afterClaim(s, o)
	case PhaseRead:
		return afterRead(s, o)
	case PhaseDispatch:
		return afterDispatch(s, o)
	default:
		return afterVoid(s, o)
	}
}

func afterClaim(s State, o Observation) (State, Action) {
	switch o.Result {
	case ResultCommitted:
		// Guard: only a committed claim clears OtherClaim. It prevents this
		// sequence: a call ran, its caller retries, the claim gets a conflict,
		// and the row is read from a stale replica that shows no claim or a
		// voided one; each further claim fails, and the caller is told "not
		// run". Conditions are checked against the current row, so a committed
		// claim proves that the read was up to date.
		s.OtherClaim = false
		return dispatch(s)
	case ResultTableUnavailable:
		return s, tableUnavailable(s)
	case ResultConflict:
		s.OtherClaim = true
		return read(s)
	case ResultNoTarget:
		return noTarget(s)
	default:
		// Guard: read-back. It prevents this sequence: the response to this
		// commit is lost and the write did not take effect, another router
		// claims the key, and both dispatch. The symptom is an ambiguous
		// commit. Nothing is dispatched until the row, read back, names this
		// request's attempt.
		return read(s)
	}
}

// noTarget decides what follows when no backend server accepts calls.
//
// Guard: read before "no backend server". It prevents this sequence: a call
// runs, its answer is lost, all backend servers disappear (or this router has
// just started and knows none), the caller retries and is told "not run". The
// row is read first; a claim in it is handled like any other, and its outcome is
// the answer.
func noTarget(s State) (State, Action) {
	if !s.RowRead {
		return read(s)
	}
	return s, notRun(s, types.CodeNoBackend)
}

func afterRead(s State, o Observation) (State, Action) {
	if s.Forgotten {
		return s, answerOfRow(s, o)
	}
	s.RowRead = s.RowRead || o.Result == ResultNoRow || o.Result == ResultRow
	switch o.Result {
	case ResultNoRow:
		return claimAt(s, 0, o.NewTag)
	case ResultRow:
		return handleRow(s, o)
	case ResultUnreadable:
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, retryAfterNoAnswer)
	default:
		// "Not run" is correct although the claim may have been written or may
		// still be: only this request dispatches its attempt, and it ends here.
		// A router that finds the orphan row voids the attempt, gets "not run"
		// with the tombstone, and claims the row again.
		return s, tableUnavailable(s)
	}
}

// handleRow decides what follows from a claim row that was read.
func handleRow(s State, o Observation) (State, Action) {
	row := o.Row
	switch {
	case row.Fingerprint != s.Fingerprint:
		return s, answer(types.OutcomeNotRun, types.CodeKeyReused, 0)
	case row.State == RecordCompleted:
		return s, answer(types.OutcomeCompleted, "", 0)
	case row.State == RecordUnknown:
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, 0)
	case row.State == RecordVoided, row.Attempt == s.ProvenNotRun:
		return claimAt(s, row.Version, o.NewTag)
	case row.Attempt == s.Attempt && !s.Dispatched:
		return dispatch(s)
	default:
		return voidAttempt(s, row)
	}
}

func afterDispatch(s State, o Observation) (State, Action) {
	switch o.Result {
	case ResultCompleted:
		return s, answer(types.OutcomeCompleted, "", 0)
	case ResultNotRun:
		s.ProvenNotRun = s.Attempt
		if s.Attempts >= MaxAttempts {
			return s, notRun(s, o.Code)
		}
		return read(s)
	case ResultUnknown:
		return readForgotten(s)
	default:
		// Guard: no resend. It prevents this sequence: the call runs, its answer
		// is lost, the router sends the call again. The symptom is a broken
		// connection or a timeout. The call is never sent again; the sidecar is
		// asked to void the attempt, which also stops a call still in transit.
		return voidAttempt(s, View{State: RecordClaimed, Attempt: s.Attempt, Fingerprint: s.Fingerprint})
	}
}

func afterVoid(s State, o Observation) (State, Action) {
	switch o.Result {
	case ResultCompleted:
		return s, answer(types.OutcomeCompleted, "", 0)
	case ResultNotRun:
		s.ProvenNotRun = s.Row.Attempt
		if s.Row.Version == 0 { // this request's own claim after a lost answer; its row's version isn't known
			return read(s)
		}
		return claimAt(s, s.Row.Version, o.NewTag)
	case ResultRunning:
		s.UnansweredVoids = 0
		return s, Action{Step: StepDelayedVoid}
	case ResultUnknown:
		return readForgotten(s)
	default:
		s.UnansweredVoids++
		if s.UnansweredVoids < MaxUnansweredVoids {
			return s, Action{Step: StepDelayedVoid}
		}
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, retryAfterNoAnswer)
	}
}

// readForgotten reads the row after a sidecar could not tell whether an attempt ran.
// Another router may have had the attempt voided before, and the call completed
// by an attempt of its own.
func readForgotten(s State) (State, Action) {
	s.Forgotten = true
	s.Phase = PhaseRead
	return s, Action{Step: StepRead}
}

// answerOfRow answers a request whose attempt a sidecar has forgotten.
//
// Guard: no claim after a forgotten attempt. It prevents this sequence: the call
// runs, its sidecar restarts, the table service loses the claim, and the call is
// claimed again. Whatever the row says, only a saved outcome counts.
func answerOfRow(s State, o Observation) Action {
	completed := o.Result == ResultRow && o.Row.Fingerprint == s.Fingerprint && o.Row.State == RecordCompleted
	if completed {
		return answer(types.OutcomeCompleted, "", 0)
	}
	return answer(types.OutcomeUnknown, types.CodeUnknownOutcome, 0)
}

// claimAt claims the row with a new tag if the row still has version.
//
// Guard: compare-and-swap. It prevents this sequence: two routers learn that an
// attempt was voided and both claim the key again. The table service lets a
// version be replaced only once; the other router gets a conflict and reads the
// row.
//
// Guard: one write per tag. It prevents this sequence: an ambiguous write of an
// attempt takes effect late, another router proves that this attempt did not
// run, and the first router, which never dispatched it, claims and dispatches
// with the same tag. With a new tag for each write, a proof about a tag stays
// valid.
func claimAt(s State, version uint64, newTag types.AttemptTag) (State, Action) {
	if s.Attempts >= MaxAttempts {
		return s, notRun(s, types.CodeOverloaded)
	}
	s.Attempts++
	s.Attempt = newTag
	s.Dispatched = false
	s.Phase = PhaseClaim
	s.Version = version
	return s, Action{Step: StepClaim}
}

func dispatch(s State) (State, Action) {
	s.Phase = PhaseDispatch
	s.Dispatched = true
	return s, Action{Step: StepDispatch}
}

func read(s State) (State, Action) {
	s.Reads++
	if s.Reads > MaxReads {
		return s, notRun(s, types.CodeOverloaded)
	}
	s.Phase = PhaseRead
	return s, Action{Step: StepRead}
}

func voidAttempt(s State, row View) (State, Action) {
	s.Phase = PhaseVoid
	s.Row = row
	s.UnansweredVoids = 0
	return s, Action{Step: StepVoid}
}

// expired answers a request whose deadline has passed or whose caller has left.
// In PhaseDispatch this request's attempt may be running, and in PhaseVoid the
// attempt to be voided, which is this request's own or that of another one.
func expired(s State) Action {
	if s.Phase == PhaseVoid || s.Phase == PhaseDispatch {
		return answer(types.OutcomeUnknown, types.CodeStillRunning, retryAfterRunning)
	}
	return notRun(s, types.CodeDeadline)
}

// tableUnavailable answers a request that dispatched nothing, or whose attempts
// are all proven not to run. If another claim of the key was found, the outcome is
// unknown for the reason given at notRun.
func tableUnavailable(s State) Action {
	if s.OtherClaim {
		return answer(types.OutcomeUnknown, types.CodeTableDown, retryAfterTableUnavailable)
	}
	return answer(types.OutcomeNotRun, types.CodeTableDown, retryAfterTableUnavailable)
}

// notRun answers a request whose attempts never ran. If another claim of the key
// was found, an earlier request of the caller may have run, and the outcome is
// unknown: a caller that is told "not run" may do the work by hand.
func notRun(s State, code types.Code) Action {
	if code == "" { // the sidecar gave no reason
		code = types.CodeOverloaded
	}
	if s.OtherClaim {
		return answer(types.OutcomeUnknown, types.CodeUnknownOutcome, retryAfterNotRun)
	}
	return answer(types.OutcomeNotRun, code, retryAfterNotRun)
}

func answer(outcome types.Outcome, code types.Code, retry time.Duration) Action {
	return Action{Step: StepAnswer, Outcome: outcome, Code: code, RetryAfter: retry}
}
