package settings

import "github.com/pearyard/pearyard/event"

// Events of a process and its settings; the daemons emit them.
var (
	EventLoaded = event.Define(1001, "settings_loaded", event.Info,
		"The process started with these settings; secrets are masked.", "nothing")
	EventWarning = event.Define(1002, "settings_warning", event.Warn,
		"A setting is allowed but probably not meant.", "See the finding; change the setting at the next restart.")
)
