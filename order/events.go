package order

import "github.com/pearyard/pearyard/event"

// Events of orders to engines.
var (
	EventStaleOrder = event.Define(3121, "order_stale_refused", event.Warn,
		"the sidecar refused an order of a holder that has been replaced",
		"nothing; if it goes on, a router believes wrongly that it holds the lease: see its clock in its dump")
	EventFenceUnknown = event.Define(3122, "order_fence_unknown", event.Warn,
		"the sidecar has restarted and can't read the lease row, so it refuses orders; engines keep serving what they have",
		"bring the table service back")
	EventOrdered = event.Define(3123, "order_sent", event.Info,
		"an order was sent to a backend server to bring it to what the text asks", "nothing")
	EventOrderFailed = event.Define(3124, "order_failed", event.Warn,
		"an order was not carried out; it is tried again in a later pass",
		"if it stays: look at the engine's log, and whether its memory holds what the text asks of it")
	EventUnavailable = event.Define(3125, "order_artefact_unavailable", event.Warn,
		"the text asks for a version that the weight store doesn't have; engines keep serving what they have",
		"put the version into the weight store or correct the text")
	EventOvertaken = event.Define(3126, "order_overtaken", event.Warn,
		"reading back showed that another order came after this one; it is corrected by the holder with the larger number",
		"nothing; if it repeats with the same names, something orders the engine without its sidecar")
	EventLeaseGone = event.Define(3127, "order_lease_gone", event.Info,
		"the lease was gone just before an order was sent; the order was not sent", "nothing")
)
