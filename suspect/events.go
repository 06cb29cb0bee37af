package suspect

import "github.com/pearyard/pearyard/event"

// Numbered events of this package; docs/operations/poisoned-request.md explains them.
var (
	eventDeath = event.Define(2400, "engine_death_suspects", event.Warn,
		"an engine died; every request that ran on it gained one suspicion",
		"nothing; look at the engine's own log for the cause")
	eventQuarantined = event.Define(2401, "request_quarantined", event.Error,
		"a request ran on as many dying engines as the limit allows and is refused until the time given",
		"find the caller by the organisation and keep the body; it crashes the engine")
	eventCleared = event.Define(2402, "suspect_cleared", event.Info,
		"a suspect completed whole; the deaths known by then no longer count against it", "nothing")
	eventFull = event.Define(2403, "suspect_ledger_full", event.Warn,
		"the ledger reached its bound and forgot its least weighty entry; that request may cost more engines",
		"raise the bound of the ledger if deaths are many")
	eventTable = event.Define(2404, "suspect_table_unavailable", event.Warn,
		"suspicions could not be written to or read from the table service; they still spread between processes",
		"see to the table service")
	eventTableBack = event.Define(2405, "suspect_table_available", event.Info,
		"suspicions are written to the table service again", "nothing")
	eventHeld = event.Define(2406, "suspect_copy_held", event.Info,
		"a copy of a suspect waits because another copy runs, or because every engine at hand has a suspect", "nothing")
	eventPeer = event.Define(2407, "suspect_peer_unreachable", event.Info,
		"news of suspects could not be handed to a peer; others relay it", "nothing; membership tells of lost peers")
)
