package order

import "github.com/pearyard/pearyard/event"

// Events of orders to engines.
var (
	EventStaleOrder = event.Define(3121, "order_stale_refused", event.Warn,
		"the sidecar refused an order of a lease holder that has been replaced",
		"nothing; if it continues, a router wrongly believes that it holds the lease: check its clock in its dump")
	EventFenceUnknown = event.Define(3122, "order_fence_unknown", event.Warn,
		"the sidecar has restarted and can't read the lease row, so it refuses orders; engines keep serving what they have loaded",
		"restore the table service")
	EventOrderSent = event.Define(3123, "order_sent", event.Info,
		"an order was sent to a backend server so that it serves what the configuration asks for", "nothing")
	EventOrderFailed = event.Define(3124, "order_failed", event.Warn,
		"an order was not executed; it is sent again in a later pass",
		"if it persists: check the engine's log, and whether its memory is large enough for what the configuration asks for")
	EventArtefactUnavailable = event.Define(3125, "order_artefact_unavailable", event.Warn,
		"the configuration asks for a version that the weight store doesn't have; engines keep serving what they have loaded",
		"put the version into the weight store or correct the configuration")
	EventOvertaken = event.Define(3126, "order_overtaken", event.Warn,
		"what is loaded, read back, shows that another order came after this process's, or that the engine has restarted; the lease holder with the largest fencing number corrects it",
		"nothing; if it repeats with the same names, something sends orders to the engine without its sidecar")
	EventLeaseLost = event.Define(3127, "order_lease_gone", event.Info,
		"the lease was lost just before an order would have been sent; the order was not sent", "nothing")
)
