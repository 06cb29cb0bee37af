package config

import "github.com/pearyard/pearyard/event"

// Events of the text and its revisions.
var (
	EventInForce = event.Define(1101, "config_in_force", event.Info,
		"A newer revision of the text is in force in this process.", "nothing")
	EventUndecodable = event.Define(1102, "config_undecodable", event.Error,
		"An accepted revision can't be decoded by this process; it keeps the one before.",
		"Compare the versions of the processes; if the text is damaged, apply it again.")
	EventConflicting = event.Define(1103, "config_conflicting", event.Error,
		"Two different texts came under one revision; this process keeps the first.",
		"Apply the intended text again: the next revision settles it. Report it to the vendor.")
	EventAccepted = event.Define(1104, "config_accepted", event.Info,
		"A text was committed as the next revision.", "nothing")
	EventRaceLost = event.Define(1105, "config_race_lost", event.Info,
		"An operator's text was refused, since another one's was accepted first.",
		"Read the winner's diff, put the change on top of it, apply again.")
	EventAmbiguous = event.Define(1106, "config_commit_ambiguous", event.Warn,
		"The answer to a commit was lost; its outcome is being read back.", "nothing; apply reports the outcome")
	EventUndecided = event.Define(1107, "config_commit_undecided", event.Error,
		"The outcome of a commit couldn't be read back in time; it may have taken effect.",
		"Look for the commit id in the history before applying again.")
	EventStoreBehind = event.Define(1108, "config_store_behind", event.Warn,
		"The store answered with an older revision than one that was in force; the answer was ignored.",
		"If it goes on, the store was restored from a copy: apply the text in force once more.")
	EventStoreDown = event.Define(1109, "config_store_unreachable", event.Warn,
		"The store can't be reached; texts come from peers only, and none can be accepted.",
		"See to the table service.")
	EventStoreBack = event.Define(1110, "config_store_reachable", event.Info,
		"The store answers again.", "nothing")
	EventFetched = event.Define(1111, "config_fetched", event.Info,
		"A newer revision was taken from a peer.", "nothing")
	EventFetchFailed = event.Define(1112, "config_fetch_failed", event.Warn,
		"A peer with a newer revision didn't hand it over; the store is asked instead.", "nothing")
	EventPushed = event.Define(1113, "config_pushed", event.Info,
		"An accepted revision was pushed; processes that weren't reached pull it.", "nothing")
)
