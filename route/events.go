package route

import "github.com/pearyard/pearyard/event"

// Events of routing.
var (
	EventSlow = event.Define(2600, "backend_server_slow", event.Warn,
		"A backend server's time between tokens is several times the median of its service; it gets only occasional probe requests.",
		"Look at the VM and its accelerators; replace it by a planned stop if it doesn't recover.")
	EventSlowEnded = event.Define(2601, "backend_server_slow_ended", event.Info,
		"A slow backend server is as fast as the others of its service again and gets its full share of requests.",
		"nothing")
)
