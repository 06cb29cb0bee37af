package claim_test

import (
	"math/bits"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/types"
)

// tidy brings worlds that differ in nothing that matters any more to one form,
// so that they count once. It takes no order of events away, but that an
// attempt which nobody can ask about or send any more isn't forgotten by its
// sidecar: forgetting makes a sidecar refuse more, never less.
func (w *world) tidy(s setting) {
	for i := range w.tries {
		w.tidyTry(i)
	}
	for a := uint8(1); a < w.nextTag; a++ {
		w.tidyAttempt(s, a)
	}
	w.rankVersions()
}

func (w *world) tidyTry(i int) {
	t := &w.tries[i]
	if t.state.Phase != claim.PhaseVoid {
		t.state.Row = claim.View{}
	}
	if t.state.Phase != claim.PhaseClaim {
		t.state.Version = 0
	}
	proved := uint8(t.state.Proved)
	if proved != w.row.attempt && !w.attempts[proved].late && t.state.Proved != t.state.Attempt {
		t.state.Proved = 0 // the row never returns to it
	}
	if !t.ended {
		return
	}
	// An answer is judged when it's given; "not run" as long as a call of the try is on its way.
	for a := range w.attempts {
		if !w.attempts[a].sent && w.attempts[a].runs == 0 {
			t.own &^= 1 << a
		}
	}
	if t.outcome == types.OutcomeNotRun && t.own != 0 {
		return
	}
	if t.outcome != types.OutcomeCompleted || w.runs() > 0 {
		*t = try{begun: true, ended: true}
	}
}

func (w *world) tidyAttempt(s setting, a uint8) {
	at := &w.attempts[a]
	at.refused = at.refused && w.awaited(a)
	if at.late && at.lateAt != w.row.version && s.off != casOff {
		at.late = false // versions only grow
	}
	if !at.late {
		at.lateAt = 0
	}
	named := w.row.there && w.row.attempt == a
	if s.off != savedAttemptOff && !(named && w.row.state == claim.RecordClaimed) {
		at.save = "" // the row never returns to an attempt
	}
	if named || at.late || at.sent || at.save != "" || w.referred(a) {
		return
	}
	w.sides[at.target].memory[a] = gate.Unseen
	*at = attempt{runs: at.runs}
}

func (w *world) awaited(a uint8) bool {
	for _, t := range w.tries {
		if t.waiting && uint8(t.state.Attempt) == a {
			return true
		}
	}
	return false
}

func (w *world) referred(a uint8) bool {
	for _, t := range w.tries {
		if t.begun && !t.ended && (uint8(t.state.Attempt) == a || uint8(t.state.Row.Attempt) == a) {
			return true
		}
	}
	return false
}

func (w *world) runs() uint8 {
	total := uint8(0)
	for _, at := range w.attempts {
		total += at.runs
	}
	return total
}

// rankVersions replaces row versions by their ranks: only their equality matters.
func (w *world) rankVersions() {
	used := uint64(1) | 1<<w.row.version
	for i := range w.tries {
		used |= 1<<w.tries[i].state.Version | 1<<w.tries[i].state.Row.Version
	}
	for a := range w.attempts {
		used |= 1 << w.attempts[a].lateAt
	}
	rank := func(version uint64) uint64 { return uint64(bits.OnesCount64(used & (1<<version - 1))) }
	w.row.version = uint8(rank(uint64(w.row.version)))
	for i := range w.tries {
		st := &w.tries[i].state
		st.Version, st.Row.Version = rank(st.Version), rank(st.Row.Version)
	}
	for a := range w.attempts {
		w.attempts[a].lateAt = uint8(rank(uint64(w.attempts[a].lateAt)))
	}
}
