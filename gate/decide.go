package gate

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// AttemptState is the state of an attempt as the gate remembers it.
type AttemptState uint8

// States of an attempt in a gate's memory.
const (
	Unseen    AttemptState = iota // not remembered: never seen, or forgotten
	Voided                        // a tombstone: it never ran and must not run
	Running                       // passed to the service
	Completed                     // the service answered
	NotSent                       // admitted, but no byte reached the service
	Lost                          // passed to the service; its answer was lost
)

// View has all the inputs of a decision on an attempt.
type View struct {
	State          AttemptState
	Deadline       time.Time         // of the attempt, as its claim states it
	Incarnation    types.Incarnation // of the sidecar, as the claim names it
	OwnIncarnation types.Incarnation // of this sidecar
	Now            time.Time         // by this sidecar's clock
	Forgotten      time.Time         // latest deadline of the forgotten attempts
	Full           bool              // no room to remember another attempt
	Leaving        bool              // the backend server is leaving
}

// CallVerdict is the decision on a dispatched attempt.
type CallVerdict uint8

// Verdicts on calls.
const (
	Admit  CallVerdict = iota // remember it as running and pass it to the service
	Replay                    // admitted before: return the result of the first dispatch, waiting for it if it still runs
	Refuse                    // this dispatch runs nothing
)

// DecideCall decides on a dispatched attempt. The code is the reason of a refusal.
func DecideCall(v View) (CallVerdict, types.Code) {
	switch {
	case v.Incarnation != v.OwnIncarnation:
		// A claim is valid for one incarnation of the sidecar only. Otherwise:
		// a router claims and is frozen; another router voids the attempt here;
		// this sidecar restarts and loses the tombstone; the call is claimed
		// again and runs; the first router resumes and dispatches, naming the
		// earlier incarnation.
		return Refuse, types.CodeIncarnation
	case v.State == Voided:
		// The tombstone rejects a late dispatch: a router claims and is frozen,
		// or its dispatch is delayed in the network; another router voids the
		// attempt and claims again; then the first dispatch arrives.
		return Refuse, types.CodeTombstone
	case v.State != Unseen:
		return Replay, ""
	case !v.Deadline.After(v.Now), !v.Deadline.After(v.Forgotten):
		// The deadline rejects a dispatch so late that its tombstone has been
		// forgotten, or its claim row deleted. Attempts are forgotten only after
		// their deadline has passed by this clock, and Forgotten applies even if
		// this clock steps back, so the clocks of other machines don't matter.
		return Refuse, types.CodeDeadline
	case v.Leaving:
		return Refuse, types.CodeLeaving
	case v.Full:
		return Refuse, types.CodeOverloaded
	default:
		return Admit, ""
	}
}

// VoidVerdict is the answer to a router that requests to void an attempt.
type VoidVerdict uint8

// Verdicts on voids.
const (
	AnswerNotRun    VoidVerdict = iota // it never ran and never will; a tombstone exists
	LeaveTombstone                     // the same, once a tombstone has been stored
	AnswerRunning                      // it is running
	AnswerCompleted                    // it has completed; the answer may still be stored
	AnswerUnknown                      // it may have run
)

// DecideVoid decides on a request to void an attempt.
func DecideVoid(v View) (VoidVerdict, types.Code) {
	switch {
	case v.Incarnation != v.OwnIncarnation:
		// A sidecar can speak only for attempts of its own incarnation.
		// Otherwise: the attempt runs here; this sidecar restarts and forgets it;
		// a router asks, is told "never seen", and claims the call again.
		return AnswerUnknown, types.CodeIncarnation
	case v.State == Voided, v.State == NotSent:
		return AnswerNotRun, ""
	case v.State == Running:
		return AnswerRunning, types.CodeStillRunning
	case v.State == Completed:
		return AnswerCompleted, ""
	case v.State == Lost:
		return AnswerUnknown, types.CodeUnknownOutcome
	case !v.Deadline.After(v.Forgotten):
		// An attempt with a deadline up to Forgotten may have been forgotten; one
		// with a later deadline can't have been. Otherwise: the attempt runs and
		// is forgotten for its age; a router asks, is told "never seen", and
		// claims the call again.
		return AnswerUnknown, types.CodeUnknownOutcome
	case v.Full:
		// Without a tombstone the attempt could still arrive and run, so the answer
		// can't be "not run". "Unknown" promises nothing and releases no claim.
		return AnswerUnknown, types.CodeOverloaded
	default:
		return LeaveTombstone, ""
	}
}
