package site

import "github.com/pearyard/pearyard/event"

// Events of the configuration on entry VMs.
var (
	EventApplied = event.Define(2700, "site_config_applied", event.Info,
		"a newer configuration is in force in this process", "nothing")
	EventUnreadable = event.Define(2701, "site_config_unreadable", event.Error,
		"a newer configuration can't be read; the last good one stays in force", "compare the field named in err with the version before")
	EventStoreLost = event.Define(2702, "site_store_lost", event.Warn,
		"the store does not tell this process the configuration any more; peers are asked instead", "look whether others lost it too; see docs/OPERATIONS.md")
	EventStoreRegained = event.Define(2703, "site_store_regained", event.Info,
		"the store tells this process the configuration again", "nothing")
	EventParts = event.Define(2704, "site_config_parts", event.Error,
		"parts of the configuration that is in force can't be read: requests of such a route are refused, all else is in force", "compare the parts that the line names with the version before")
)
