package settings

import "github.com/pearyard/pearyard/event"

// Events of a process's settings; the daemons emit them.
var (
	EventLoaded = event.Define(1001, "settings_loaded", event.Info,
		"The process started with these settings; secrets are masked.", "nothing")
	EventWarning = event.Define(1002, "settings_warning", event.Warn,
		"A setting is valid but probably unintended.", "See the finding; change the setting at the next restart.")
)
