package admin

import "github.com/pearyard/pearyard/event"

// Events of the administration API.
var (
	eventUnauthorized = event.Define(4000, "admin_unauthorized", event.Warn,
		"A call to the administration API had no bearer token or a wrong one.",
		"Check the operator's token; if the call is not an operator's, find out who can reach the listener.")
	eventAccepted = event.Define(4001, "admin_text_accepted", event.Info,
		"A configuration was accepted as the next revision.", "nothing")
	eventRefused = event.Define(4002, "admin_text_refused", event.Info,
		"A configuration was refused because of its findings; nothing changed.",
		"Fix the configuration; `pearyard check` shows all findings without applying it.")
	eventRace = event.Define(4003, "admin_race_lost", event.Info,
		"A configuration was refused because another was accepted on the same base first.",
		"Read the winner's diff, merge, and apply with the winner's revision as the base.")
	eventAmbiguous = event.Define(4004, "admin_apply_ambiguous", event.Warn,
		"The store's response to an apply was lost; the configuration may have been accepted.",
		"`pearyard history` shows whether it was; the command line checks this by itself.")
	eventNotInForce = event.Define(4005, "admin_not_in_force", event.Warn,
		"A revision was not in force in every process within the time that the operator waited.",
		"`pearyard status` shows the processes that are behind; check whether they reach their peers and the store.")
	eventStop = event.Define(4006, "admin_stop", event.Info,
		"An operator started a planned stop.", "`pearyard status` shows its progress.")
	eventStopFailed = event.Define(4007, "admin_stop_failed", event.Warn,
		"A planned stop could not be delivered to its process.",
		"Send the stop again, which is harmless. If the process can't be reached, it is already failing.")
	eventGatherPartial = event.Define(4008, "admin_gather_partial", event.Warn,
		"Some processes did not respond while an explanation or a bundle was collected; the result lists them.",
		"Check whether they are alive (`pearyard status`), and repeat the command once they are.")
	eventBundle = event.Define(4009, "admin_bundle", event.Info,
		"A bundle for the vendor was written.", "nothing")
)
