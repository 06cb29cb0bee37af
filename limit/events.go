package limit

import "github.com/pearyard/pearyard/event"

// Numbered events of this package; docs/operations/limits.md explains them.
var (
	eventApplied = event.Define(2500, "limits_applied", event.Info,
		"the limits of all organisations were replaced by those of a new revision", "nothing")
	eventRate = event.Define(2501, "organisation_rate_limited", event.Warn,
		"an organisation began to be refused for its rate (told at most once in ten seconds for each)",
		"raise requests_per_second in the text if the organisation should have more")
	eventShed = event.Define(2502, "organisation_shed", event.Warn,
		"an organisation's queue share was full or could not be served in time (told at most once in ten seconds for each)",
		"add backend servers, or raise concurrent or queued in the text")
	eventPressure = event.Define(2503, "slots_under_pressure", event.Info,
		"requests began to wait for slots; organisations now share them by weight", "nothing; see the metrics for how long")
	eventRelieved = event.Define(2504, "slots_relieved", event.Info,
		"no request waits for a slot any more", "nothing")
)
