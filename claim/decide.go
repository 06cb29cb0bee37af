package claim

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

const (
	// MaxAttempts bounds the attempts that one try of a caller may claim.
	MaxAttempts = 5
	// MaxReads bounds the reads of the claim row in one try.
	MaxReads = 8
	// MaxSilent bounds the questions to a sidecar that doesn't answer, in one try.
	MaxSilent = 3

	retryTableDown = 2 * time.Second
	retryNotRun    = time.Second
	retryRunning   = time.Second
	retrySilent    = 5 * time.Second
)

// Begin returns the state and the first action of a try. It claims without
// reading first: nearly all keys are new, and a conflict tells of the others.
func Begin(attempt types.AttemptTag, fingerprint types.Fingerprint) (State, Action) {
	s := State{Phase: PhaseClaim, Fingerprint: fingerprint, Attempt: attempt, Attempts: 1}
	return s, Action{Step: StepClaim}
}

// Next returns what follows an observation.
func Next(s State, o Observation) (State, Action) {
	if o.Seen == SeenOutOfTime {
		return s, outOfTime(s)
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
	switch o.Seen {
	case SeenCommitted:
		// Guard: only a written claim ends a conflict. It stops this order: a
		// call ran, its caller comes back, the claim meets a conflict, and the
		// row is read from an old copy that shows none, or a voided one; each
		// further claim fails, and the caller is told "not run". A condition is
		// judged on the present row, so a claim that was written proves that
		// what the read showed was so.
		s.Met = false
		return dispatch(s)
	case SeenTableDown:
		return s, tableDown(s)
	case SeenConflict:
		s.Met = true
		return read(s)
	case SeenNoTarget:
		return noTarget(s)
	default:
		// Guard: read-back. It stops this order: our commit's answer is lost
		// and the write did not take effect, another router claims the key, and
		// both dispatch. It shows as an ambiguous commit. The row itself says
		// whose claim it is; nothing is dispatched before it says "ours".
		return read(s)
	}
}

// noTarget decides what to say when no backend server takes calls.
//
// Guard: look before "no backend server". It stops this order: a call runs, its
// answer is lost, all backend servers go (or this router has just started and
// knows none), the caller comes back and is told "not run". The row is read
// first; a claim in it is met as any other, and its outcome is the answer.
func noTarget(s State) (State, Action) {
	if !s.Looked {
		return read(s)
	}
	return s, notRun(s, types.CodeNoBackend)
}

func afterRead(s State, o Observation) (State, Action) {
	s.Looked = s.Looked || o.Seen == SeenNoRow || o.Seen == SeenRow
	switch o.Seen {
	case SeenNoRow:
		return claimAt(s, 0, o.Fresh)
	case SeenRow:
		return meet(s, o)
	case SeenUnreadable:
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, retrySilent)
	default:
		// True although the claim may be written or may yet land: this attempt
		// is dispatched by this try alone, and this try ends here. A router that
		// finds the orphan row voids the attempt, gets the tombstone's "not
		// run", and claims the row anew.
		return s, tableDown(s)
	}
}

// meet decides on a claim row that was read.
func meet(s State, o Observation) (State, Action) {
	row := o.Row
	switch {
	case row.Fingerprint != s.Fingerprint:
		return s, answer(types.OutcomeNotRun, types.CodeKeyReused, 0)
	case row.State == RecordCompleted:
		return s, answer(types.OutcomeCompleted, "", 0)
	case row.State == RecordUnknown:
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, 0)
	case row.State == RecordVoided, row.Attempt == s.Proved:
		return claimAt(s, row.Version, o.Fresh)
	case row.Attempt == s.Attempt && !s.Dispatched:
		return dispatch(s)
	default:
		return ask(s, row)
	}
}

func afterDispatch(s State, o Observation) (State, Action) {
	switch o.Seen {
	case SeenCompleted:
		return s, answer(types.OutcomeCompleted, "", 0)
	case SeenNotRun:
		s.Proved = s.Attempt
		if s.Attempts >= MaxAttempts {
			return s, notRun(s, o.Code)
		}
		return read(s)
	case SeenUnknown:
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, 0)
	default:
		// Guard: no resend. It stops this order: the call runs, its answer is
		// lost on the way back, the router sends the call again. It shows as a
		// broken connection or a timeout. The call is never sent again; the
		// sidecar is asked, and its Void stops a call that is still on its way.
		return ask(s, View{State: RecordClaimed, Attempt: s.Attempt, Fingerprint: s.Fingerprint})
	}
}

func afterVoid(s State, o Observation) (State, Action) {
	switch o.Seen {
	case SeenCompleted:
		return s, answer(types.OutcomeCompleted, "", 0)
	case SeenNotRun:
		s.Proved = s.Row.Attempt
		if s.Row.Version == 0 {
			return read(s)
		}
		return claimAt(s, s.Row.Version, o.Fresh)
	case SeenRunning:
		s.Silent = 0
		return s, Action{Step: StepWaitVoid}
	case SeenUnknown:
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, 0)
	default:
		s.Silent++
		if s.Silent < MaxSilent {
			return s, Action{Step: StepWaitVoid}
		}
		return s, answer(types.OutcomeUnknown, types.CodeUnknownOutcome, retrySilent)
	}
}

// claimAt claims the row, under a new tag, if it still has version.
//
// Guard: compare-and-swap. It stops this order: two routers learn that an
// attempt was voided and both claim the key anew. The table service lets one
// version be replaced once; the other router gets a conflict and reads the row.
//
// Guard: one write for one tag. It stops this order: an ambiguous write of an
// attempt lands late, another router proves that attempt not run, and the first
// router, which never dispatched it, claims and dispatches under the same tag.
// With a new tag for each write, a proof about a tag holds for ever.
func claimAt(s State, version uint64, fresh types.AttemptTag) (State, Action) {
	if s.Attempts >= MaxAttempts {
		return s, notRun(s, types.CodeOverloaded)
	}
	s.Attempts++
	s.Attempt = fresh
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

func ask(s State, row View) (State, Action) {
	s.Phase = PhaseVoid
	s.Row = row
	s.Silent = 0
	return s, Action{Step: StepVoid}
}

// outOfTime answers a try whose time is over. In PhaseVoid the key's call may
// be running, and after a dispatch without an answer so may this one's.
func outOfTime(s State) Action {
	if s.Phase == PhaseVoid || s.Phase == PhaseDispatch {
		return answer(types.OutcomeUnknown, types.CodeStillRunning, retryRunning)
	}
	return notRun(s, types.CodeDeadline)
}

// tableDown: nothing of this try was dispatched, or its attempts are proved not to run.
func tableDown(s State) Action {
	if s.Met {
		return answer(types.OutcomeUnknown, types.CodeTableDown, retryTableDown)
	}
	return answer(types.OutcomeNotRun, types.CodeTableDown, retryTableDown)
}

// notRun answers a try whose attempts never ran. If another claim of the key
// was met, the caller's earlier try may have run: that would be a lie to a
// caller who takes "not run" as leave to do the work by hand.
func notRun(s State, code types.Code) Action {
	if code == "" {
		code = types.CodeOverloaded
	}
	if s.Met {
		return answer(types.OutcomeUnknown, types.CodeUnknownOutcome, retryNotRun)
	}
	return answer(types.OutcomeNotRun, code, retryNotRun)
}

func answer(outcome types.Outcome, code types.Code, retry time.Duration) Action {
	return Action{Step: StepAnswer, Outcome: outcome, Code: code, RetryAfter: retry}
}
