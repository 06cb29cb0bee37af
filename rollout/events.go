package rollout

import "github.com/pearyard/pearyard/event"

// Events of roll-outs.
var (
	EventOrdered = event.Define(2770, "rollout_ordered", event.Info,
		"the operator has ordered that a service's requests move to another version; this process learned of it", "nothing")
	EventPhase = event.Define(2771, "rollout_phase", event.Info,
		"a roll-out has entered another phase", "if it was stopped or reverted, compare the failed and slow answers of both versions by route")
	EventChosen = event.Define(2772, "rollout_request", event.Info,
		"a request goes to the version on trial, as part of the share that it may get", "nothing")
	EventRecordLost = event.Define(2773, "rollout_record_failed", event.Warn,
		"the record of a roll-out could not be read from or written to the store; it is tried again", "check the store; until the record is written the roll-out is neither completed nor reverted")
	EventRecordLate = event.Define(2774, "rollout_record_conflict", event.Info,
		"another process wrote the record of a roll-out first; its record counts", "nothing")
	EventJudgedBad = event.Define(2775, "rollout_judged_bad", event.Warn,
		"this process, as a decider, judges the version on trial as bad; suspicion is the log likelihood ratio of that over the roll-out, trend that of its newest failures", "compare the failed and slow answers of both versions by route")
	EventBaseline = event.Define(2776, "rollout_baseline", event.Info,
		"this process knows anew which versions of a service (named by its hash) need no order; from: its own list, the completion of a roll-out, the store or the entry VM that told it", "nothing; entry VMs that differ for more than a few seconds refuse each other's streams")
)
