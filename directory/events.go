package directory

import "github.com/pearyard/pearyard/event"

// Events of the list of backend servers.
var (
	EventChanged = event.Define(2710, "servers_changed", event.Info,
		"backend servers joined, began to leave or are gone", "nothing")
	EventListLost = event.Define(2711, "servers_list_lost", event.Warn,
		"the store does not tell this process the list of backend servers any more", "look whether others lost it too; see docs/OPERATIONS.md")
	EventListRegained = event.Define(2712, "servers_list_regained", event.Info,
		"the store tells this process the list of backend servers again", "nothing")
	EventKept = event.Define(2713, "servers_kept", event.Warn,
		"entries lapsed while the store was away; their servers stay in use until its return is two seconds old", "nothing")
	EventLate = event.Define(2714, "servers_late_entry", event.Info,
		"entries were dropped because later starts of the same backend servers are known", "nothing")
	EventInvalid = event.Define(2715, "servers_invalid", event.Warn,
		"entries of the list of backend servers name no server to use: a field is missing or of another type, a state is unknown, or bytes can't be read; all other entries are used", "find out who writes the entries that the line names; see its reasons")
)
