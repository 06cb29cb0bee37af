package claim

import "github.com/pearyard/pearyard/event"

// Events of at-most-once calls at a router.
var (
	EventNotRun = event.Define(2300, "call_not_run", event.Info,
		"a call that may not be repeated was refused; no attempt of this try ran or will run", "nothing; the caller may come back with the same key")
	EventUnknown = event.Define(2301, "call_outcome_unknown", event.Warn,
		"a call may have run and won't be run again", "look at the sidecar that the event names; check the service's own records before doing the work by hand")
	EventAsked = event.Define(2302, "claim_voiding", event.Info,
		"a router met a claim and asked its sidecar to void the attempt", "nothing")
	EventRowUnreadable = event.Define(2303, "claim_row_unreadable", event.Error,
		"a claim row has a format that this release can't read", "finish the upgrade; routers of the newer release answer these calls")
	EventCommitAmbiguous = event.Define(2304, "claim_commit_ambiguous", event.Warn,
		"the table service's answer to a batch of claims was lost; each row is read back", "nothing; if it repeats, look at the table service")
	EventTableDown = event.Define(2305, "claim_table_down", event.Warn,
		"the table service did not take a batch of claims; its calls were refused as not run", "look at the table service")
	EventSaveDropped = event.Define(2306, "claim_outcome_not_saved", event.Warn,
		"a final outcome could not be written into its claim row; later tries ask the sidecar", "look at the table service")
	EventSwept = event.Define(2307, "claims_deleted", event.Info,
		"claim rows past their retention were deleted", "nothing")
)
