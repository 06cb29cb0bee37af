package claim

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// Phase is what a try waits for.
type Phase uint8

// Phases of a try.
const (
	PhaseClaim    Phase = iota // its write of the claim row
	PhaseRead                  // the claim row as it stands
	PhaseDispatch              // the answer to the one dispatch of its attempt
	PhaseVoid                  // the sidecar's word on the attempt that the row names
)

// View is the part of a claim row that decisions depend on.
type View struct {
	State       RecordState
	Attempt     types.AttemptTag
	Fingerprint types.Fingerprint
	Version     uint64 // of the row; 0: not known
}

// State is one try of a caller: a pure value, changed by Next alone.
type State struct {
	Phase       Phase
	Fingerprint types.Fingerprint
	Attempt     types.AttemptTag // of this try's newest claim
	Dispatched  bool             // Attempt was handed to the sidecar client
	Version     uint64           // that the row must have for the claim to be written; 0: absent
	Proved      types.AttemptTag // newest attempt proved never to run
	Row         View             // the claim asked about in PhaseVoid
	Met         bool             // another claim of the key stands, and may have run, as far as is known
	Looked      bool             // the row, or that there is none, was read
	Attempts    uint8
	Reads       uint8
	Silent      uint8
}

// Seen is the kind of an observation.
type Seen uint8

// Kinds of observations.
const (
	SeenCommitted   Seen = iota // the claim is written
	SeenConflict                // the row has another version
	SeenAmbiguous               // the claim may be written, now or later
	SeenTableDown               // the table service did not take the call
	SeenUnreadable              // the row is in a format of a later release
	SeenRow                     // the row was read
	SeenNoRow                   // there is no row
	SeenCompleted               // the sidecar: it ran, here is the answer
	SeenNotRun                  // proved: the attempt never ran and never will
	SeenUnknown                 // the sidecar: it can't tell any more
	SeenRunning                 // the sidecar: it runs
	SeenLost                    // the answer to the dispatch was lost after a byte may have left
	SeenUnreachable             // no answer to a question
	SeenOutOfTime               // the caller's deadline passed, or the caller left
	SeenNoTarget                // nothing was written: no backend server takes calls
)

// Observation is what came of an action.
type Observation struct {
	Seen  Seen
	Row   View             // for SeenRow
	Fresh types.AttemptTag // a newly drawn tag, for the case that a new attempt follows
	Code  types.Code       // the sidecar's reason for SeenNotRun
}

// Step is what a try does next.
type Step uint8

// Steps of a try.
const (
	StepClaim    Step = iota // write the claim row if it has State.Version
	StepRead                 // read the claim row
	StepDispatch             // send the call of State.Attempt, once
	StepVoid                 // ask the sidecar that State.Row names
	StepWaitVoid             // the same after a pause
	StepAnswer               // answer the caller
)

// Action is a step, and the answer for StepAnswer.
type Action struct {
	Step       Step
	Outcome    types.Outcome
	Code       types.Code
	RetryAfter time.Duration
}
