package suspect

import "github.com/pearyard/pearyard/event"

// Events emitted by this package. docs/operations/poisoned-request.md explains them.
var (
	eventDeath = event.Define(2400, "engine_death_suspects", event.Warn,
		"an engine died; every request that ran on it is now suspected of that death",
		"nothing; see the engine's log for the cause")
	eventQuarantined = event.Define(2401, "request_quarantined", event.Error,
		"a request is suspected of as many engine deaths as the limit allows and is refused until the given time",
		"identify the caller by the organisation and keep the request body; it crashes the engine")
	eventCleared = event.Define(2402, "suspect_cleared", event.Info,
		"a suspect ran to completion; the deaths known by then no longer count against it", "nothing")
	eventFull = event.Define(2403, "suspect_ledger_full", event.Warn,
		"the ledger is full and evicted its least important entry; that request may crash more engines than the limit",
		"raise the maximum size of the ledger if there are many deaths")
	eventTable = event.Define(2404, "suspect_table_unavailable", event.Warn,
		"suspicions could not be written to or read from the table service; processes still exchange them directly",
		"check the table service")
	eventTableBack = event.Define(2405, "suspect_table_available", event.Info,
		"suspicions are written to the table service again", "nothing")
	eventHeld = event.Define(2406, "suspect_copy_held", event.Info,
		"a copy of a suspect was held back because another copy is running or the chosen backend server already runs a suspect", "nothing")
	eventRowsInvalid = event.Define(2408, "suspect_rows_invalid", event.Warn,
		"rows of the table of suspicions can't be read and are skipped; all others are in force", "find the program that writes the named rows; they are overwritten once their requests are quarantined again")
	eventAdopted = event.Define(2410, "suspect_rows_adopted", event.Info,
		"the table service came back from a copy without rows of quarantined requests whose processes have ended; this process writes them again", "nothing")
	eventPeer = event.Define(2407, "suspect_peer_unreachable", event.Info,
		"suspicions or grants could not be exchanged with a peer; other peers relay suspicions to it", "nothing; membership reports lost peers")
)
