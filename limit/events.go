package limit

import "github.com/pearyard/pearyard/event"

// Events emitted by this package. docs/operations/limits.md explains them.
var (
	eventApplied = event.Define(2500, "limits_applied", event.Info,
		"the limits of all organisations were replaced by those of a new configuration revision", "nothing")
	eventRate = event.Define(2501, "organisation_rate_limited", event.Warn,
		"requests of an organisation are refused because of its rate limit (reported at most every ten seconds per organisation)",
		"raise requests_per_second in the configuration if the organisation should have more")
	eventShed = event.Define(2502, "organisation_shed", event.Warn,
		"requests of an organisation are shed because its queue is full or too long for their deadlines (reported at most every ten seconds per organisation)",
		"add backend servers, or raise concurrent or queued in the configuration")
	eventPressure = event.Define(2503, "slots_under_pressure", event.Info,
		"all slots are taken and requests began to wait for one; organisations now share slots by weight", "nothing; the metrics show how long requests wait")
	eventRelieved = event.Define(2504, "slots_relieved", event.Info,
		"no requests wait for a slot any more", "nothing")
)
