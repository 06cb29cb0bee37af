package claim_test

import (
	"math/bits"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/types"
)

// normalize maps states that no longer differ in anything relevant to the same
// state, so that they are visited once. No sequence of events is lost, except
// that a sidecar doesn't forget an attempt that can no longer be sent or voided:
// forgetting only makes a sidecar refuse more.
func (m *modelState) normalize(b bounds) {
	for i := range m.requests {
		m.normalizeRequest(i)
	}
	for a := uint8(1); a < m.nextTag; a++ {
		m.normalizeAttempt(b, a)
	}
	m.rankVersions()
}

func (m *modelState) normalizeRequest(i int) {
	r := &m.requests[i]
	if r.state.Phase != claim.PhaseVoid {
		r.state.Row = claim.View{}
	}
	if r.state.Phase != claim.PhaseClaim {
		r.state.Version = 0
	}
	proven := uint8(r.state.ProvenNotRun)
	if proven != m.row.attempt && !m.attempts[proven].late && r.state.ProvenNotRun != r.state.Attempt {
		r.state.ProvenNotRun = 0 // the row never names it again
	}
	if !r.ended {
		return
	}
	// An answer is checked when it is given, "not run" as long as a call of the
	// request is in transit.
	for a := range m.attempts {
		if !m.attempts[a].sent && m.attempts[a].runs == 0 {
			r.own &^= 1 << a
		}
	}
	if r.outcome == types.OutcomeNotRun && r.own != 0 {
		return
	}
	if r.outcome != types.OutcomeCompleted || m.runs() > 0 {
		*r = request{begun: true, ended: true}
	}
}

func (m *modelState) normalizeAttempt(b bounds, a uint8) {
	at := &m.attempts[a]
	at.refused = at.refused && m.isAwaited(a)
	if at.late && at.lateAt != m.row.version && b.disabled != casOff {
		at.late = false // versions only increase
	}
	if !at.late {
		at.lateAt = 0
	}
	named := m.row.there && m.row.attempt == a
	if b.disabled != savedAttemptOff && !(named && m.row.state == claim.RecordClaimed) {
		at.save = "" // the row never names the attempt again
	}
	if named || at.late || at.sent || at.save != "" || m.isReferenced(a) {
		return
	}
	m.sidecars[at.target].memory[a] = gate.Unseen
	*at = attempt{runs: at.runs}
}

func (m *modelState) isAwaited(a uint8) bool {
	for _, r := range m.requests {
		if r.waiting && uint8(r.state.Attempt) == a {
			return true
		}
	}
	return false
}

func (m *modelState) isReferenced(a uint8) bool {
	for _, r := range m.requests {
		if r.begun && !r.ended && (uint8(r.state.Attempt) == a || uint8(r.state.Row.Attempt) == a) {
			return true
		}
	}
	return false
}

func (m *modelState) runs() uint8 {
	total := uint8(0)
	for _, at := range m.attempts {
		total += at.runs
	}
	return total
}

// rankVersions replaces row versions by their ranks, since only equality matters.
func (m *modelState) rankVersions() {
	used := uint64(1) | 1<<m.row.version
	for i := range m.requests {
		used |= 1<<m.requests[i].state.Version | 1<<m.requests[i].state.Row.Version
	}
	for a := range m.attempts {
		used |= 1 << m.attempts[a].lateAt
	}
	rank := func(version uint64) uint64 { return uint64(bits.OnesCount64(used & (1<<version - 1))) }
	m.row.version = uint8(rank(uint64(m.row.version)))
	for i := range m.requests {
		st := &m.requests[i].state
		st.Version, st.Row.Version = rank(st.Version), rank(st.Row.Version)
	}
	for a := range m.attempts {
		m.attempts[a].lateAt = uint8(rank(uint64(m.attempts[a].lateAt)))
	}
}
