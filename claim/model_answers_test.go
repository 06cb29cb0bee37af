package claim_test

import (
	"time"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/types"
)

// awaitMoves are what a try that sent its call may hear.
func (w world) awaitMoves(s setting, i int, yield func(string, world)) {
	a := uint8(w.tries[i].state.Attempt)
	at := w.attempts[a]
	n := w
	n.tries[i].waiting = false
	n.observe(s, i, claim.Observation{Seen: claim.SeenLost}, "answer lost", yield)
	if at.refused {
		n.observe(s, i, claim.Observation{Seen: claim.SeenNotRun}, "told not run", yield)
		return
	}
	if at.sent || w.sides[at.target].inc != at.inc {
		return
	}
	if seen, ok := heard(w.sides[at.target].memory[a]); ok {
		n.observe(s, i, claim.Observation{Seen: seen}, "told "+seen.String(), yield)
	}
}

func heard(memory gate.AttemptState) (claim.Seen, bool) {
	switch memory {
	case gate.Completed:
		return claim.SeenCompleted, true
	case gate.NotSent:
		return claim.SeenNotRun, true
	case gate.Lost:
		return claim.SeenUnknown, true
	case gate.Running:
		return claim.SeenRunning, true
	default:
		return 0, false
	}
}

func (w world) voidMoves(s setting, i int, yield func(string, world)) {
	w.observe(s, i, claim.Observation{Seen: claim.SeenUnreachable}, "unreachable", yield)
	a := uint8(w.tries[i].state.Row.Attempt)
	at := w.attempts[a]
	for _, full := range []bool{false, true} {
		n := w
		seen := n.void(s, a, at, full)
		n.observe(s, i, claim.Observation{Seen: seen}, "void: "+seen.String(), yield)
		n.observe(s, i, claim.Observation{Seen: claim.SeenUnreachable}, "void, answer lost", yield)
	}
}

func (w *world) void(s setting, a uint8, at attempt, full bool) claim.Seen {
	v := w.view(at, full)
	v.State = w.sides[at.target].memory[a]
	switch s.off {
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
		if s.off != tombstoneOff && !(s.off == fullOff && full) {
			w.sides[at.target].memory[a] = gate.Voided
		}
		return claim.SeenNotRun
	case gate.AnswerNotRun:
		return claim.SeenNotRun
	case gate.AnswerRunning:
		return claim.SeenRunning
	case gate.AnswerCompleted:
		return claim.SeenCompleted
	default:
		return claim.SeenUnknown
	}
}

func (w world) view(at attempt, full bool) gate.View {
	sd := w.sides[at.target]
	v := gate.View{
		Deadline:       clock(at.deadline),
		Incarnation:    types.Incarnation(at.inc),
		OwnIncarnation: types.Incarnation(sd.inc),
		Now:            clock(w.now),
		Full:           full,
	}
	if sd.forgotten > 0 {
		v.Forgotten = clock(sd.forgotten)
	}
	return v
}

func clock(t uint8) time.Time { return time.Unix(1000+int64(t), 0) }

// observe lets a try decide by the real code and takes its decision in.
func (w world) observe(s setting, i int, o claim.Observation, name string, yield func(string, world)) {
	if s.off == resendOff && w.tries[i].state.Phase == claim.PhaseDispatch && o.Seen == claim.SeenLost {
		n := w
		n.tries[i].waiting, n.tries[i].step = false, claim.StepDispatch
		yield("call sent again", n)
		return
	}
	o.Fresh = unwritten(i)
	before := w.tries[i].state
	state, action := claim.Next(before, weakenTry(s.off, before, o))
	if s.off == oneTagOff && action.Step == claim.StepClaim && !before.Dispatched && before.Proved != before.Attempt {
		state.Attempt = before.Attempt
	}
	// Without its counters a try may go on for ever, which adds orders and takes
	// none away: what a full counter answers, SeenOutOfTime answers as well.
	state.Reads, state.Silent, state.Attempts = 0, 0, 1
	n := w
	n.learn(i, o)
	t := &n.tries[i]
	t.state, t.step, t.waiting = state, action.Step, false
	if action.Step == claim.StepAnswer {
		t.ended, t.outcome = true, action.Outcome
		t.state, t.step = claim.State{}, 0 // nothing of it matters any more
	}
	yield(name, n)
}

func weakenTry(off guard, st claim.State, o claim.Observation) claim.Observation {
	switch {
	case off == readBackOff && o.Seen == claim.SeenAmbiguous:
		o.Seen = claim.SeenCommitted
	case off == noResendOff && st.Phase == claim.PhaseDispatch && o.Seen == claim.SeenLost:
		o.Seen = claim.SeenNotRun
	}
	return o
}

// learn queues what a try heard of an attempt for saving, as the coordinator does.
func (w *world) learn(i int, o claim.Observation) {
	st := w.tries[i].state
	a := uint8(st.Attempt)
	if st.Phase == claim.PhaseVoid {
		a = uint8(st.Row.Attempt)
	}
	if st.Phase != claim.PhaseVoid && st.Phase != claim.PhaseDispatch {
		return
	}
	switch o.Seen {
	case claim.SeenCompleted:
		w.attempts[a].save = claim.RecordCompleted
	case claim.SeenUnknown:
		w.attempts[a].save = claim.RecordUnknown
	case claim.SeenNotRun:
		w.attempts[a].save = claim.RecordVoided
	}
}

const ranTwice = "the call ran twice"

// violation names what is wrong with a world, if anything.
func (w world) violation() string {
	total := uint8(0)
	for _, at := range w.attempts {
		total += at.runs
	}
	if total > 1 {
		return ranTwice
	}
	for _, t := range w.tries {
		for a := range w.attempts {
			if t.outcome == types.OutcomeNotRun && t.own&(1<<a) != 0 && w.attempts[a].runs > 0 {
				return "a try that was answered not-run ran"
			}
		}
		if t.outcome == types.OutcomeCompleted && total == 0 {
			return "a try was answered completed and nothing ran"
		}
	}
	return ""
}
