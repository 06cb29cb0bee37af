package claim

import "github.com/pearyard/pearyard/event"

// Events of at-most-once calls on a router.
var (
	EventNotRun = event.Define(2300, "call_not_run", event.Info,
		"a non-repeatable call was refused; no attempt of this request ran or will run", "nothing; the caller may retry with the same key")
	EventOutcomeUnknown = event.Define(2301, "call_outcome_unknown", event.Warn,
		"a call may have run and won't be run again", "check the sidecar that the event names; check the service's own records before doing the work by hand")
	EventVoiding = event.Define(2302, "claim_voiding", event.Info,
		"a router found a claim, or got no answer to its own call, and asked the sidecar that the claim names to void the attempt", "nothing")
	EventRowUnreadable = event.Define(2303, "claim_row_unreadable", event.Error,
		"a claim row has a format that this release can't read", "complete the upgrade; routers of the newer release answer these calls")
	EventCommitAmbiguous = event.Define(2304, "claim_commit_ambiguous", event.Warn,
		"the table service's response to a transaction of claims or outcomes was lost; each claim's row is read back, and outcomes are saved again", "nothing; if it repeats, check the table service")
	EventTableUnavailable = event.Define(2305, "claim_table_down", event.Warn,
		"the table service did not accept a transaction of claims or outcomes; calls whose claims were in it are refused, and outcomes are saved again", "check the table service")
	EventOutcomeNotSaved = event.Define(2306, "claim_outcome_not_saved", event.Warn,
		"a final outcome could not be saved in its claim row; later requests with the key ask the sidecar", "check the table service")
	EventClaimsDeleted = event.Define(2307, "claims_deleted", event.Info,
		"claim rows past their retention time were deleted", "nothing")
)
