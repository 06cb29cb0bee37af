package claim

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// Phase is what a request waits for.
type Phase uint8

// Phases of a request.
const (
	PhaseClaim    Phase = iota // the write of the claim row
	PhaseRead                  // the read of the claim row
	PhaseDispatch              // the answer to the only dispatch of its attempt
	PhaseVoid                  // the sidecar's reply about the attempt that the row names
)

// View is the part of a claim row that decisions depend on.
type View struct {
	State       RecordState
	Attempt     types.AttemptTag
	Fingerprint types.Fingerprint
	Version     uint64 // of the row; 0: unknown
}

// State is the state of one request. It is a plain value that only Next changes.
type State struct {
	Phase           Phase
	Fingerprint     types.Fingerprint
	Attempt         types.AttemptTag // of this request's newest claim
	Dispatched      bool             // Attempt was passed to the sidecar client
	Version         uint64           // that the row must have for the claim to be written; 0: no row
	ProvenNotRun    types.AttemptTag // newest attempt proven never to run
	Row             View             // the claim to be voided, in PhaseVoid
	OtherClaim      bool             // a conflict showed another claim of the key, which may have run as far as is known
	Forgotten       bool             // a sidecar could not tell whether an attempt ran; the row may have the call's outcome
	RowRead         bool             // the row was read or found to be absent
	Attempts        uint8            // claimed so far; at most MaxAttempts
	Reads           uint8            // of the row so far; at most MaxReads
	UnansweredVoids uint8            // consecutive unanswered void requests; fewer than MaxUnansweredVoids
}

// Result is the result of an action.
type Result uint8

// Results of actions.
const (
	ResultCommitted        Result = iota // the claim was written
	ResultConflict                       // the row has another version
	ResultAmbiguous                      // the claim may have been written or may be later
	ResultTableUnavailable               // the table service did not accept the operation
	ResultUnreadable                     // the row has a format that this release can't read
	ResultRow                            // the row was read
	ResultNoRow                          // there is no row
	ResultCompleted                      // the sidecar: the attempt ran, this is its answer
	ResultNotRun                         // proven: the attempt never ran and never will
	ResultUnknown                        // the sidecar can no longer tell whether the attempt ran
	ResultRunning                        // the sidecar: the attempt is running
	ResultAnswerLost                     // no answer to the dispatch, of which bytes may have been sent
	ResultUnreachable                    // no answer to the void request, or the sidecar can't tell yet
	ResultExpired                        // the request's deadline passed or its caller left
	ResultNoTarget                       // nothing was written: no backend server accepts calls
)

// Observation is the result of an action with its details.
type Observation struct {
	Result Result
	Row    View             // for ResultRow
	NewTag types.AttemptTag // a new tag, in case a new attempt follows
	Code   types.Code       // the reason for ResultNotRun
}

// Step is what a request does next.
type Step uint8

// Steps of a request.
const (
	StepClaim       Step = iota // write the claim row if it has State.Version
	StepRead                    // read the claim row
	StepDispatch                // send the call of State.Attempt, once
	StepVoid                    // ask the sidecar that State.Row names to void the attempt
	StepDelayedVoid             // the same after a delay
	StepAnswer                  // answer the caller
)

// Action is a step and, for StepAnswer, the answer.
type Action struct {
	Step       Step
	Outcome    types.Outcome
	Code       types.Code
	RetryAfter time.Duration
}
