package gate

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// Memory is what a gate remembers of one attempt.
type Memory uint8

// States of an attempt in a gate's memory.
const (
	Unseen    Memory = iota // nothing; it may have been forgotten
	Voided                  // a tombstone: it never ran and must not
	Running                 // handed to the service
	Completed               // the service answered
	NotSent                 // admitted, but no byte reached the service
	Lost                    // handed to the service; the answer was lost
)

// View is all that a decision on an attempt depends on.
type View struct {
	Memory      Memory
	Deadline    time.Time         // of the attempt, as its claim states it
	Incarnation types.Incarnation // that the claim names
	Own         types.Incarnation // of this sidecar
	Now         time.Time         // by this sidecar's clock
	Forgotten   time.Time         // latest deadline among the attempts forgotten so far
	Full        bool              // no room to remember another attempt
	Leaving     bool              // the backend server is leaving
}

// CallVerdict says what to do with a dispatched attempt.
type CallVerdict uint8

// Verdicts on calls.
const (
	Admit  CallVerdict = iota // remember it as running and hand it to the service
	Replay                    // it was admitted before: answer what came or comes of that
	Refuse                    // this dispatch runs nothing
)

// DecideCall decides on a dispatched attempt; the code is the reason of a refusal.
func DecideCall(v View) (CallVerdict, types.Code) {
	switch {
	case v.Incarnation != v.Own:
		// Guard: incarnation. It stops this order: a router claims and is
		// frozen, another router voids the attempt here, this sidecar restarts
		// and loses the tombstone, the call is claimed anew and runs, the first
		// router wakes and dispatches. It shows as a dispatch that names an
		// earlier run of this process. A claim is good for one run only.
		return Refuse, types.CodeIncarnation
	case v.Memory == Voided:
		// Guard: tombstone. It stops this order: a router claims and is frozen
		// (or its dispatch is held up in the network), another router voids the
		// attempt and claims anew, the first dispatch arrives.
		return Refuse, types.CodeTombstone
	case v.Memory != Unseen:
		return Replay, ""
	case !v.Deadline.After(v.Now), !v.Deadline.After(v.Forgotten):
		// Guard: deadline. It stops this order: as above, but the first router
		// sleeps so long that the tombstone is forgotten, or the claim row
		// deleted, before it dispatches. Attempts are forgotten only when their
		// deadline has passed by this clock, and Forgotten holds even if this
		// clock steps back, so clocks of other machines don't matter.
		return Refuse, types.CodeDeadline
	case v.Leaving:
		return Refuse, types.CodeLeaving
	case v.Full:
		return Refuse, types.CodeOverloaded
	default:
		return Admit, ""
	}
}

// VoidVerdict says what a gate answers a router that asks to void an attempt.
type VoidVerdict uint8

// Verdicts on voids.
const (
	AnswerNotRun    VoidVerdict = iota // it never ran and never will; a tombstone is there
	LeaveTombstone                     // the same, once the tombstone is left
	AnswerRunning                      // it runs now
	AnswerCompleted                    // here is its answer
	AnswerUnknown                      // it may have run
)

// DecideVoid decides on a request to void an attempt.
func DecideVoid(v View) (VoidVerdict, types.Code) {
	switch {
	case v.Incarnation != v.Own:
		// Guard: incarnation. It stops this order: the attempt runs here, this
		// sidecar restarts and forgets it, a router asks, hears "never seen"
		// and claims anew. A run can speak for its own attempts only.
		return AnswerUnknown, types.CodeIncarnation
	case v.Memory == Voided, v.Memory == NotSent:
		return AnswerNotRun, ""
	case v.Memory == Running:
		return AnswerRunning, types.CodeStillRunning
	case v.Memory == Completed:
		return AnswerCompleted, ""
	case v.Memory == Lost:
		return AnswerUnknown, types.CodeUnknownOutcome
	case !v.Deadline.After(v.Forgotten):
		// Guard: forgotten attempts. It stops this order: the attempt runs, its
		// memory is dropped for its age, a router asks, hears "never seen" and
		// claims anew. An attempt with a deadline up to Forgotten may have been
		// dropped; one with a later deadline can't have been.
		return AnswerUnknown, types.CodeUnknownOutcome
	case v.Full:
		// Without a tombstone the attempt could still arrive and run, so "not
		// run" would be a lie. "Unknown" promises nothing and frees no claim.
		return AnswerUnknown, types.CodeOverloaded
	default:
		return LeaveTombstone, ""
	}
}
