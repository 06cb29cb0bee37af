package claim_test

import (
	"time"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/types"
)

// awaitTransitions lists the replies that a request may get after it sent its
// call.
func (m modelState) awaitTransitions(b bounds, i int, yield func(string, modelState)) {
	a := uint8(m.requests[i].state.Attempt)
	at := m.attempts[a]
	n := m
	n.requests[i].waiting = false
	n.observe(b, i, claim.Observation{Result: claim.ResultAnswerLost}, "answer lost", yield)
	if at.refused {
		n.observe(b, i, claim.Observation{Result: claim.ResultNotRun}, "told not run", yield)
		return
	}
	if at.sent || m.sidecars[at.target].inc != at.inc {
		return
	}
	if result, ok := rememberedResult(m.sidecars[at.target].memory[a]); ok {
		n.observe(b, i, claim.Observation{Result: result}, "told "+result.String(), yield)
	}
}

// rememberedResult returns the result that a sidecar reports for an attempt which it
// remembers.
func rememberedResult(memory gate.AttemptState) (claim.Result, bool) {
	switch memory {
	case gate.Completed:
		return claim.ResultCompleted, true
	case gate.NotSent:
		return claim.ResultNotRun, true
	case gate.Lost:
		return claim.ResultUnknown, true
	case gate.Running:
		return claim.ResultRunning, true
	default:
		return 0, false
	}
}

func (m modelState) voidTransitions(b bounds, i int, yield func(string, modelState)) {
	m.observe(b, i, claim.Observation{Result: claim.ResultUnreachable}, "unreachable", yield)
	a := uint8(m.requests[i].state.Row.Attempt)
	at := m.attempts[a]
	for _, full := range []bool{false, true} {
		n := m
		result := n.void(b, a, at, full)
		n.observe(b, i, claim.Observation{Result: result}, "void: "+result.String(), yield)
		n.observe(b, i, claim.Observation{Result: claim.ResultUnreachable}, "void, answer lost", yield)
	}
}

// void delivers a void request for attempt a to its sidecar.
func (m *modelState) void(b bounds, a uint8, at attempt, full bool) claim.Result {
	v := m.view(at, full)
	v.State = m.sidecars[at.target].memory[a]
	switch b.disabled {
	case voidIncOff:
		v.OwnIncarnation = v.Incarnation
	case forgottenOff:
		v.Forgotten = time.Time{}
	case fullOff:
		v.Full = false
	}
	verdict, _ := gate.DecideVoid(v)
	switch verdict {
	case gate.LeaveTombstone:
		if b.disabled != tombstoneOff && !(b.disabled == fullOff && full) {
			m.sidecars[at.target].memory[a] = gate.Voided
		}
		return claim.ResultNotRun
	case gate.AnswerNotRun:
		return claim.ResultNotRun
	case gate.AnswerRunning:
		return claim.ResultRunning
	case gate.AnswerCompleted:
		return claim.ResultCompleted
	default:
		return claim.ResultUnknown
	}
}

func (m modelState) view(at attempt, full bool) gate.View {
	sd := m.sidecars[at.target]
	v := gate.View{
		Deadline:       clock(at.deadline),
		Incarnation:    types.Incarnation(at.inc),
		OwnIncarnation: types.Incarnation(sd.inc),
		Now:            clock(m.now),
		Full:           full,
	}
	if sd.forgotten > 0 {
		v.Forgotten = clock(sd.forgotten)
	}
	return v
}

func clock(t uint8) time.Time { return time.Unix(1000+int64(t), 0) }

// observe passes an observation to claim.Next and applies the decision.
func (m modelState) observe(b bounds, i int, o claim.Observation, name string, yield func(string, modelState)) {
	if b.disabled == sameAttemptOff && m.requests[i].state.Phase == claim.PhaseDispatch && o.Result == claim.ResultAnswerLost {
		n := m
		n.requests[i].waiting, n.requests[i].step = false, claim.StepDispatch
		yield("call sent again", n)
		return
	}
	o.NewTag = placeholderTag(i)
	before := m.requests[i].state
	state, action := claim.Next(before, weakenRequest(b.disabled, before, o))
	if b.disabled == oneTagOff && action.Step == claim.StepClaim && !before.Dispatched && before.ProvenNotRun != before.Attempt {
		state.Attempt = before.Attempt
	}
	// Without its counters a request may continue for ever. This adds sequences
	// and removes none: ResultExpired leads to the same answers as a full counter.
	state.Reads, state.UnansweredVoids, state.Attempts = 0, 0, 1
	n := m
	n.queueSave(i, o)
	r := &n.requests[i]
	r.state, r.step, r.waiting = state, action.Step, false
	if action.Step == claim.StepAnswer {
		r.ended, r.outcome = true, action.Outcome
		r.state, r.step = claim.State{}, 0 // no longer relevant
	}
	yield(name, n)
}

// weakenRequest changes the observation given to claim.Next so that the disabled
// guard has no effect: an ambiguous write counts as committed, or an attempt whose
// answer was lost as not run.
func weakenRequest(off guard, st claim.State, o claim.Observation) claim.Observation {
	switch {
	case off == readBackOff && o.Result == claim.ResultAmbiguous:
		o.Result = claim.ResultCommitted
	case off == newAttemptOff && st.Phase == claim.PhaseDispatch && o.Result == claim.ResultAnswerLost:
		o.Result = claim.ResultNotRun
	}
	return o
}

// queueSave queues the outcome that a request learned of an attempt, as the
// coordinator does.
func (m *modelState) queueSave(i int, o claim.Observation) {
	st := m.requests[i].state
	a := uint8(st.Attempt)
	if st.Phase == claim.PhaseVoid {
		a = uint8(st.Row.Attempt)
	}
	if st.Phase != claim.PhaseVoid && st.Phase != claim.PhaseDispatch {
		return
	}
	switch o.Result {
	case claim.ResultCompleted:
		m.attempts[a].save = claim.RecordCompleted
	case claim.ResultUnknown:
		m.attempts[a].save = claim.RecordUnknown
	case claim.ResultNotRun:
		m.attempts[a].save = claim.RecordVoided
	}
}

const ranTwice = "the call ran twice"

// violation describes how a state breaks the guarantees; empty: it doesn't.
func (m modelState) violation() string {
	total := uint8(0)
	for _, at := range m.attempts {
		total += at.runs
	}
	if total > 1 {
		return ranTwice
	}
	for _, r := range m.requests {
		for a := range m.attempts {
			if r.outcome == types.OutcomeNotRun && r.own&(1<<a) != 0 && m.attempts[a].runs > 0 {
				return "a request that was answered not-run ran"
			}
		}
		if r.outcome == types.OutcomeCompleted && total == 0 {
			return "a request was answered completed and nothing ran"
		}
	}
	return ""
}
