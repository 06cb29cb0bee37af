package entry

import "github.com/pearyard/pearyard/event"

// Events of callers' requests that go no further.
var (
	EventTurnedAway = event.Define(2750, "entry_turned_away", event.Warn,
		"a request was answered without being handed on: it is malformed, its host and path have no route, or its key is unknown",
		"compare the request with the configuration version named in the line")
	EventNotYet = event.Define(2751, "entry_no_config", event.Warn,
		"a request was refused because this process has just started and lacks its configuration or its list of servers", "see the lines about the store")
	EventStopping = event.Define(2756, "entry_stop_refused", event.Info,
		"a request was refused because the process is about to stop and could not finish it", "nothing")
)

// EventTakenInStop tells by which estimate a stopping process takes a stream.
var EventTakenInStop = event.Define(2758, "entry_stop_taken", event.Info,
	"a stream was taken although a planned stop has begun: by the time that streams need, it can be finished", "nothing")

// EventRouteRefused is emitted for a request of a route that can't be read.
var EventRouteRefused = event.Define(2759, "entry_route_refused", event.Warn,
	"a request was refused because the part of the configuration that describes its route can't be read; it has not run", "write the route anew; see the line site_config_parts")

// EventPanicked is emitted for a request on whose path the program has a fault.
var EventPanicked = event.Define(2760, "entry_panicked", event.Error,
	"a fault of this program ended a request: it was answered 502, or cut if its answer had begun; it may have run",
	"report the line with its stack; it is a bug")

// EventLate is emitted for a request that was complete only after its time.
var EventLate = event.Define(2761, "entry_late", event.Info,
	"a request was refused because its time was over when its last byte came; it has not run",
	"if there are many, look at the network between callers and this VM")

// EventAttemptPanicked is emitted for an attempt, or another question to a backend
// server, in which the program has a fault.
var EventAttemptPanicked = event.Define(2762, "entry_attempt_panicked", event.Error,
	"a fault of this program ended an attempt or a question to a backend server; the request goes on as if the server had broken it off",
	"report the line with its stack; it is a bug")

// Events of the process.
var (
	EventNoMetrics = event.Define(2757, "entry_no_metrics", event.Warn,
		"the port of the metrics is taken; they are served beside the state dump on the internal port only", "see what else uses the port")
	EventStarted = event.Define(2752, "entry_started", event.Info,
		"the entry process has started with these settings", "nothing")
	EventReady = event.Define(2753, "entry_ready", event.Info,
		"the process knows a configuration and backend servers and takes callers", "nothing")
	EventDraining = event.Define(2754, "entry_draining", event.Info,
		"a planned stop began: the process reports itself not ready, serves what comes and what runs", "nothing")
	EventStopped = event.Define(2755, "entry_stopped", event.Info,
		"the process ends; cut counts the requests that it could not finish", "if cut is over 0, look at these requests' lines and at the entry_stop_taken line of each")
)
