package site

import "github.com/pearyard/pearyard/event"

// Events of the configuration on entry VMs.
var (
	EventApplied = event.Define(2700, "site_config_applied", event.Info,
		"a newer configuration is in force in this process", "nothing")
	EventUnreadable = event.Define(2701, "site_config_unreadable", event.Error,
		"a newer configuration can't be read; the last good one stays in force", "compare the field named in err with the previous version")
	EventStoreLost = event.Define(2702, "site_store_lost", event.Warn,
		"the store no longer provides the configuration to this process; peers are asked instead", "check whether other processes lost it too; see docs/OPERATIONS.md")
	EventStoreRegained = event.Define(2703, "site_store_regained", event.Info,
		"the store provides the configuration to this process again", "nothing")
	EventRefused = event.Define(2705, "site_config_refused", event.Info,
		"a configuration with a smaller version number than that of the one in force is not taken", "nothing for a single line: a late answer, or the store came back from a copy that lacks the newer one; if it repeats, write the newer one again")
	EventPartlyUnreadable = event.Define(2704, "site_config_parts", event.Error,
		"parts of the configuration in force can't be read: requests of the routes concerned are refused, all else is in force", "compare the named parts with the previous version")
)
