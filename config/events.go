package config

import "github.com/pearyard/pearyard/event"

// Events of the configuration and its revisions.
var (
	EventInForce = event.Define(1101, "config_in_force", event.Info,
		"A newer revision of the configuration is in force in this process.", "nothing")
	EventUndecodable = event.Define(1102, "config_undecodable", event.Error,
		"This process can't decode an accepted revision and keeps the previous one.",
		"Compare the versions of the processes; if the configuration is damaged, apply it again.")
	EventConflicting = event.Define(1103, "config_conflicting", event.Error,
		"Two different configurations were received with the same revision; this process keeps the first.",
		"Apply the intended configuration again: the next revision resolves the conflict. Report it to the vendor.")
	EventAccepted = event.Define(1104, "config_accepted", event.Info,
		"A configuration was committed as the next revision.", "nothing")
	EventRaceLost = event.Define(1105, "config_race_lost", event.Info,
		"An operator's configuration was refused because another operator's was accepted first.",
		"Read the diff of the accepted revision, rebase the change on it, apply again.")
	EventAmbiguous = event.Define(1106, "config_commit_ambiguous", event.Warn,
		"The response to a commit was lost; its outcome is being read back.", "nothing; apply reports the outcome")
	EventUndecided = event.Define(1107, "config_commit_undecided", event.Error,
		"The outcome of a commit couldn't be read back in time; it may have taken effect.",
		"Look for the commit id in the history before applying again.")
	EventStoreBehind = event.Define(1108, "config_store_behind", event.Warn,
		"The store returned an older revision than one that was in force; the response was ignored.",
		"If it continues, the store was restored from an older copy: apply the configuration in force again.")
	EventStoreDown = event.Define(1109, "config_store_unreachable", event.Warn,
		"The store is unreachable; revisions come from peers only, and no new one can be accepted.",
		"Restore the table service.")
	EventStoreBack = event.Define(1110, "config_store_reachable", event.Info,
		"The store is reachable again.", "nothing")
	EventFetched = event.Define(1111, "config_fetched", event.Info,
		"A newer revision was fetched from a peer.", "nothing")
	EventFetchFailed = event.Define(1112, "config_fetch_failed", event.Warn,
		"Fetching a newer revision from a peer failed; the store is polled instead.", "nothing")
	EventPushed = event.Define(1113, "config_pushed", event.Info,
		"An accepted revision was pushed to peers; those that weren't reached pull it.", "nothing")
)
