package admin

import "github.com/pearyard/pearyard/event"

// Events of the administration API.
var (
	eventUnauthorized = event.Define(4000, "admin_unauthorized", event.Warn,
		"A call to the administration API came without the bearer token or with a wrong one.",
		"Check the operator's token; if no operator is meant, see who can reach the listener.")
	eventAccepted = event.Define(4001, "admin_text_accepted", event.Info,
		"An operator's text was accepted as the next revision.", "nothing")
	eventRefused = event.Define(4002, "admin_text_refused", event.Info,
		"An operator's text was refused for its findings; nothing changed.",
		"Mend the text; `pearyard check` shows all findings without applying it.")
	eventRace = event.Define(4003, "admin_race_lost", event.Info,
		"An operator's text was refused because another was accepted on the same base first.",
		"Read the winner's diff, merge, and apply on the winner's revision.")
	eventAmbiguous = event.Define(4004, "admin_apply_ambiguous", event.Warn,
		"The store's answer to an apply was lost; the text may have been accepted.",
		"`pearyard history` shows whether it was; the command line reads it back by itself.")
	eventNotInForce = event.Define(4005, "admin_not_in_force", event.Warn,
		"A revision was not in force in every process within the bound that the operator waited for.",
		"`pearyard status` names those behind; see whether they reach their peers and the store.")
	eventStop = event.Define(4006, "admin_stop", event.Info,
		"An operator started a planned stop.", "`pearyard status` shows how far it is.")
	eventStopFailed = event.Define(4007, "admin_stop_failed", event.Warn,
		"A planned stop could not be handed to its process.",
		"Send the stop again: asking twice is harmless. If the process can't be reached, it is already failing.")
	eventGatherPartial = event.Define(4008, "admin_gather_partial", event.Warn,
		"Some processes did not answer while an explanation or a bundle was gathered; the result names them.",
		"See whether they are alive (`pearyard status`); gather again once they are.")
	eventBundle = event.Define(4009, "admin_bundle", event.Info,
		"A bundle for the vendor was made.", "nothing")
)
