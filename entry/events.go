package entry

import "github.com/pearyard/pearyard/event"

// Events of requests that are refused before they reach a backend server.
var (
	EventTurnedAway = event.Define(2750, "entry_turned_away", event.Warn,
		"a request was rejected without being forwarded: it is malformed, its host and path match no route, or its key is unknown",
		"compare the request with the configuration version in the line")
	EventNoConfig = event.Define(2751, "entry_no_config", event.Warn,
		"a request was refused because this process has just started and has not received its configuration or its list of servers yet", "see the log lines about the store")
	EventStopRefused = event.Define(2756, "entry_stop_refused", event.Info,
		"a request was refused because the process is stopping and may end before it", "nothing")
)

// EventStopTaken is emitted for a stream that a stopping process accepts, with the
// estimate that it was accepted by.
var EventStopTaken = event.Define(2758, "entry_stop_taken", event.Info,
	"a stream was accepted during a planned stop: by the estimated duration of streams, it can be finished in time", "nothing")

// EventRouteRefused is emitted for a request whose route has an invalid configuration.
var EventRouteRefused = event.Define(2759, "entry_route_refused", event.Warn,
	"a request was refused because the configuration of its route is invalid; it has not run", "correct the route; see the line site_config_parts")

// EventPanicked is emitted for a request whose handler panicked.
var EventPanicked = event.Define(2760, "entry_panicked", event.Error,
	"a panic ended a request: it was answered 502, or its connection was closed if its response had begun; it may have run",
	"report the line with its stack: it is a bug of pearyard")

// EventLate is emitted for a request that was completely received only after its
// deadline.
var EventLate = event.Define(2761, "entry_late", event.Info,
	"a request was refused because its deadline had passed when its last byte arrived; it has not run",
	"if there are many, check the network between callers and this VM")

// EventAttemptPanicked is emitted for an attempt, or another call to a backend server,
// in which the program panicked.
var EventAttemptPanicked = event.Define(2762, "entry_attempt_panicked", event.Error,
	"a panic ended an attempt or another call to a backend server; the request continues as if the connection to the server had broken",
	"report the line with its stack: it is a bug of pearyard")

// Events of the process.
var (
	EventNoMetrics = event.Define(2757, "entry_no_metrics", event.Warn,
		"the metrics port is in use; metrics are served on the internal port only, with the state dump", "find out what else uses the port")
	EventStarted = event.Define(2752, "entry_started", event.Info,
		"the entry process has started with these settings", "nothing")
	EventReady = event.Define(2753, "entry_ready", event.Info,
		"the process has a configuration and usable backend servers and serves callers", "nothing")
	EventDraining = event.Define(2754, "entry_draining", event.Info,
		"a planned stop began: the process reports itself not ready, finishes running requests and accepts new ones that it can finish", "nothing")
	EventStopped = event.Define(2755, "entry_stopped", event.Info,
		"the process ends; cut is the number of requests that it could not finish", "if cut is over 0, look at the lines of these requests and at the entry_stop_taken line of each")
)

// EventInvalidLimit is emitted for a rate limit of a backend server that can't be read.
var EventInvalidLimit = event.Define(2763, "entry_invalid_limit", event.Warn,
	"an answer of a backend server holds a rate limit that can't be read, or more than one; it has no effect",
	"look at the server: it asks for less work, and gets as much as before")

// EventInvalidHeader is emitted for another header in which an answer says something of its
// backend server and that can't be read.
var EventInvalidHeader = event.Define(2764, "entry_invalid_header", event.Warn,
	"an answer of a backend server says something of that server that can't be read; it has no effect", "look at the server: it may ask for rest, or say that it leaves")

// EventServerRests is emitted when a backend server turns a request away and asks for rest,
// once for each rest.
var EventServerRests = event.Define(2765, "entry_server_rests", event.Info,
	"a backend server has turned a request away and wants nothing from this process for a time; asked is what it named, granted how long it gets nothing",
	"if many servers of a service do so, the service needs more of them")

// Events of the store's era.
var (
	EventStoreEra = event.Define(2766, "entry_store_era", event.Warn,
		"the store names an era for the first time: either the first one that this process sees, or the store has come back from a copy that lacks changes it had accepted", "if was is not 0: what was written in the last seconds before is written again by its writers; see docs/OPERATIONS.md")
	EventInvalidEra = event.Define(2767, "entry_store_era_invalid", event.Warn,
		"an answer of the store names an earlier era, an invalid one, or none although others do", "check what answers at the store's address")
)
