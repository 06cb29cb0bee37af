package claim_test

import (
	"time"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/types"
)

// The model consists of a table row, the requests with one key on routers,
// sidecars and the calls between them. claim.Next and gate's decisions are the
// production code; the model adds their environment: any order of steps, a router
// that stops between any two of its steps, commits that are ambiguous or take
// effect late, calls that arrive late, lost answers, sidecars that restart and
// forget attempts, a clock that lags, and callers that retry.

const (
	maxTags     = 4
	maxRequests = 3
	maxSidecars = 2
)

// guard names the guard that is disabled, to check that the search then finds a
// violation.
type guard string

const (
	allOn           guard = ""
	tombstoneOff    guard = "tombstone"
	callIncOff      guard = "incarnation of a call"
	voidIncOff      guard = "incarnation of a void"
	deadlineOff     guard = "deadline"
	forgottenOff    guard = "forgotten attempts at a void"
	forgottenCall   guard = "forgotten attempts at a call"
	fullOff         guard = "full memory"
	casOff          guard = "compare-and-swap"
	readBackOff     guard = "read-back"
	newAttemptOff   guard = "no resend as a new attempt"
	sameAttemptOff  guard = "no resend of the same attempt"
	oneTagOff       guard = "one write per tag"
	savedAttemptOff guard = "attempt checked when an outcome is saved"
)

// modelState is one state of the model. It is comparable. An attempt's tag is its
// index in attempts; 0 is no attempt.
type modelState struct {
	now      uint8 // in ticks
	nextTag  uint8 // index in attempts of the next one to be written
	restarts uint8 // of sidecars so far
	row      row
	attempts [maxTags + 1]attempt
	sidecars [maxSidecars]sidecar
	requests [maxRequests]request
}

type row struct {
	there   bool
	state   claim.RecordState
	attempt uint8
	version uint8
}

// attempt holds what is fixed when an attempt is claimed, and the progress of its
// call and of the save of its outcome.
type attempt struct {
	target   uint8 // index of its sidecar
	inc      uint8 // incarnation of the sidecar that the claim names
	deadline uint8
	late     bool              // its ambiguous write may still take effect
	lateAt   uint8             // the row version on which that write is conditional
	sent     bool              // its call is in transit
	refused  bool              // its call was refused and the answer is in transit
	runs     uint8             // how often the service ran it
	save     claim.RecordState // the outcome that some router is about to save
}

type sidecar struct {
	inc       uint8 // incarnation
	memory    [maxTags + 1]gate.AttemptState
	forgotten uint8 // latest deadline of the forgotten attempts; 0: none
}

type request struct {
	begun   bool
	waiting bool // its call was sent
	ended   bool
	outcome types.Outcome
	own     uint8 // bit set of the attempts that it claimed
	step    claim.Step
	state   claim.State
}

// bounds limits one search.
type bounds struct {
	requests, sidecars int
	tags               uint8 // maximum number of attempts
	restarts           uint8 // maximum number of restarts of sidecars
	ticks              uint8 // maximum value of the clock
	disabled           guard
}

// transitions passes every state that one step leads to, and the step's name, to
// found.
func (m modelState) transitions(b bounds, found func(string, modelState)) {
	yield := func(name string, next modelState) {
		next.normalize(b)
		found(name, next)
	}
	m.environmentTransitions(b, yield)
	for i := range b.requests {
		m.requestTransitions(b, i, yield)
	}
}

func (m modelState) environmentTransitions(b bounds, yield func(string, modelState)) {
	if m.now < b.ticks {
		n := m
		n.now++
		yield("time passes", n)
	}
	for a := uint8(1); a < m.nextTag; a++ {
		m.attemptTransitions(b, a, yield)
	}
	for i := range b.sidecars {
		m.sidecarTransitions(b, i, yield)
	}
}

func (m modelState) attemptTransitions(b bounds, a uint8, yield func(string, modelState)) {
	at := m.attempts[a]
	if at.late {
		n := m
		n.attempts[a].late = false
		if m.row.version == at.lateAt || b.disabled == casOff {
			n.putClaim(a)
		}
		yield("late write takes effect", n)
	}
	if at.sent {
		m.deliver(b, a, yield)
	}
	if at.save != "" && (m.row.there && m.row.state == claim.RecordClaimed) {
		n := m
		n.attempts[a].save = ""
		if m.row.attempt == a || b.disabled == savedAttemptOff {
			n.row.state = at.save
			n.row.version++
		}
		yield("outcome saved", n)
	}
}

// deliver delivers a call to its sidecar, whose clock may lag by one tick.
func (m modelState) deliver(b bounds, a uint8, yield func(string, modelState)) {
	at := m.attempts[a]
	for _, behind := range []uint8{0, 1} {
		for _, full := range []bool{false, true} {
			v := m.view(at, full)
			v.State = m.sidecars[at.target].memory[a]
			v.Now = clock(max(m.now, behind) - behind)
			weakenCall(b.disabled, &v)
			n := m
			n.attempts[a].sent = false
			verdict, _ := gate.DecideCall(v)
			if verdict == gate.Refuse {
				n.attempts[a].refused = true
				yield("call refused", n)
				continue
			}
			if verdict == gate.Replay {
				yield("call replayed", n)
				continue
			}
			n.sidecars[at.target].memory[a] = gate.NotSent
			yield("call admitted, not sent", n)
			n.sidecars[at.target].memory[a] = gate.Running
			n.attempts[a].runs++
			yield("call admitted", n)
		}
	}
}

// weakenCall changes the inputs of gate.DecideCall so that the disabled guard has no
// effect.
func weakenCall(off guard, v *gate.View) {
	switch off {
	case callIncOff:
		v.OwnIncarnation = v.Incarnation
	case deadlineOff:
		v.Deadline = clock(100)
	case forgottenCall:
		v.Forgotten = time.Time{}
	}
}

func (m modelState) sidecarTransitions(b bounds, i int, yield func(string, modelState)) {
	if m.restarts < b.restarts {
		n := m
		n.restarts++
		n.sidecars[i] = sidecar{inc: m.sidecars[i].inc + 1}
		yield("sidecar restarts", n)
	}
	for a := uint8(1); a < m.nextTag; a++ {
		memory := m.sidecars[i].memory[a]
		if memory == gate.Running {
			n := m
			n.sidecars[i].memory[a] = gate.Completed
			yield("service answers", n)
			n.sidecars[i].memory[a] = gate.Lost
			yield("service's answer lost", n)
			continue
		}
		if memory != gate.Unseen && m.attempts[a].deadline <= m.now {
			n := m
			n.sidecars[i].memory[a] = gate.Unseen
			n.sidecars[i].forgotten = max(n.sidecars[i].forgotten, m.attempts[a].deadline)
			yield("sidecar forgets", n)
		}
	}
}

func (m modelState) requestTransitions(b bounds, i int, yield func(string, modelState)) {
	r := m.requests[i]
	switch {
	case r.ended:
	case !r.begun:
		m.begin(b, i, yield)
	case r.waiting:
		m.expire(b, i, yield)
		m.awaitTransitions(b, i, yield)
	default:
		m.expire(b, i, yield)
		m.stepTransitions(b, i, yield)
	}
}

// begin starts a request. The requests are interchangeable, so they begin in
// order; the third is a retry after another request was answered.
func (m modelState) begin(b bounds, i int, yield func(string, modelState)) {
	early := i > 0 && !m.requests[i-1].begun || i == 2 && !m.requests[0].ended && !m.requests[1].ended
	if early {
		return
	}
	n := m
	r := &n.requests[i]
	r.begun = true
	r.state, _ = claim.Begin(placeholderTag(i), 1)
	r.step = claim.StepClaim
	yield("request begins", n)
}

// placeholderTag is the tag of a request's newest attempt until a write of it may
// have taken effect. Then the attempt gets the next number, so that attempts that
// no one can see don't count.
func placeholderTag(i int) types.AttemptTag { return types.AttemptTag(100 + i) }

// assignTag returns the number of a request's attempt, and assigns it at its first
// write.
func (m *modelState) assignTag(i int) uint8 {
	r := &m.requests[i]
	if r.state.Attempt == placeholderTag(i) {
		r.state.Attempt = types.AttemptTag(m.nextTag)
		r.own |= 1 << m.nextTag
		m.nextTag++
	}
	return uint8(r.state.Attempt)
}

func (m modelState) expire(b bounds, i int, yield func(string, modelState)) {
	m.observe(b, i, claim.Observation{Result: claim.ResultExpired}, "caller leaves", yield)
}

func (m modelState) stepTransitions(b bounds, i int, yield func(string, modelState)) {
	r := m.requests[i]
	switch r.step {
	case claim.StepClaim:
		m.claimTransitions(b, i, yield)
	case claim.StepRead:
		m.observe(b, i, m.readRow(), "read", yield)
		m.observe(b, i, claim.Observation{Result: claim.ResultTableUnavailable}, "read fails", yield)
	case claim.StepDispatch:
		m.observe(b, i, claim.Observation{Result: claim.ResultNotRun}, "call not sent", yield)
		n := m
		n.requests[i].waiting = true
		n.attempts[r.state.Attempt].sent = true
		yield("call sent", n)
	default:
		m.voidTransitions(b, i, yield)
	}
}

func (m modelState) readRow() claim.Observation {
	if !m.row.there {
		return claim.Observation{Result: claim.ResultNoRow}
	}
	view := claim.View{State: m.row.state, Attempt: types.AttemptTag(m.row.attempt), Fingerprint: 1, Version: uint64(m.row.version)}
	return claim.Observation{Result: claim.ResultRow, Row: view}
}

func (m modelState) claimTransitions(b bounds, i int, yield func(string, modelState)) {
	st := m.requests[i].state
	ambiguous := claim.Observation{Result: claim.ResultAmbiguous}
	holds := uint64(m.row.version) == st.Version || b.disabled == casOff
	m.observe(b, i, claim.Observation{Result: claim.ResultTableUnavailable}, "table down", yield)
	m.observe(b, i, claim.Observation{Result: claim.ResultNoTarget}, "no backend server", yield)
	if b.disabled != readBackOff {
		m.observe(b, i, ambiguous, "ambiguous, no effect", yield)
	}
	if !holds {
		m.observe(b, i, claim.Observation{Result: claim.ResultConflict}, "conflict", yield)
	}
	if st.Attempt == placeholderTag(i) && m.nextTag > b.tags {
		return // the bound on attempts is reached
	}
	for target := range uint8(b.sidecars) {
		n := m
		a := n.assignTag(i)
		n.attempts[a] = attempt{target: target, inc: m.sidecars[target].inc, deadline: m.now + 1, runs: m.attempts[a].runs}
		if b.disabled == readBackOff {
			n.observe(b, i, ambiguous, "ambiguous, no effect", yield)
		}
		late := n
		late.attempts[a].late, late.attempts[a].lateAt = true, uint8(st.Version)
		late.observe(b, i, ambiguous, "ambiguous, late effect", yield)
		if holds {
			n.putClaim(a)
			n.observe(b, i, claim.Observation{Result: claim.ResultCommitted}, "committed", yield)
			n.observe(b, i, ambiguous, "ambiguous, effect", yield)
		}
	}
}

func (m *modelState) putClaim(a uint8) {
	m.row = row{there: true, state: claim.RecordClaimed, attempt: a, version: m.row.version + 1}
}
