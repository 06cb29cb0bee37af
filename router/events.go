package router

import "github.com/pearyard/pearyard/event"

var (
	eventStarted = event.Define(2000, "router_started", event.Info,
		"The router listens for callers.", "nothing")
	eventRefused = event.Define(2001, "request_refused", event.Info,
		"A request got a final answer without a result; code and outcome say which.", "look the code up in docs/operations")
	eventBegun = event.Define(2002, "generation_begun", event.Info,
		"A new generation was given an id.", "nothing")
	eventDelivered = event.Define(2003, "generation_delivered", event.Info,
		"The whole answer was written to its caller.", "nothing")
	eventCallerLeft = event.Define(2004, "caller_left", event.Info,
		"The caller closed its connection before the end.", "nothing, unless it is frequent")
	eventDraining = event.Define(2005, "router_draining", event.Info,
		"The router takes no new work and waits for its streams.", "wait, or see how many are left in the state dump")
	eventDrained = event.Define(2006, "router_drained", event.Info,
		"The router has no streams left; it ends.", "nothing")
	eventPanicked = event.Define(2007, "request_panicked", event.Error,
		"A fault of this program ended a request: it was answered 500, or cut if its answer had begun; it may have run.", "report the line with its stack; it is a bug")
	eventPlaced = event.Define(2100, "attempt_placed", event.Info,
		"An attempt at a generation was sent to a backend server.", "nothing")
	eventLost = event.Define(2101, "attempt_lost", event.Warn,
		"An attempt broke; the generation resumes from the tokens already emitted.", "see engine_died of the backend server")
	eventResumed = event.Define(2102, "generation_resumed", event.Info,
		"Output goes on after a loss; latency_ms is the gap the caller saw.", "nothing")
	eventMoved = event.Define(2103, "generation_moved", event.Info,
		"A planned resume: the backend server is leaving.", "nothing")
	eventReturned = event.Define(2104, "caller_returned", event.Info,
		"A caller came back with a Last-Event-ID or a known idempotency key and goes on with its generation.", "nothing")
	eventGenerationLost = event.Define(2105, "generation_lost", event.Error,
		"Nobody holds the tokens that the caller has seen; it got an error, never a splice.",
		"see how many processes were lost at once; more journal peers make this rarer")
	eventStaleToken = event.Define(2106, "stale_tokens_dropped", event.Warn,
		"Tokens out of order, or of another attempt, were dropped.", "nothing; the guard did its work")
	eventOffered = event.Define(2107, "generation_offered", event.Info,
		"Another backend server is asked to go on with a generation that stands still at its engine, or whose backend server is leaving; the attempt goes on until that one brings a token.",
		"if cause is still and it is frequent, see what the engine does: stuck, or out of memory")
	eventNobodyElse = event.Define(2108, "generation_nobody_else", event.Warn,
		"A generation stands still, or its backend server is leaving, and there is no other backend server to go on with it; it is waited for where it runs.",
		"if its engine is stuck, stop it; a second backend server of the model would have gone on")
	eventViewsFailed = event.Define(2008, "views_not_built", event.Error,
		"The views of backend servers couldn't be built for a request that came before the first ones; it was refused.",
		"look at err; the text and the routing policy are at fault")
)
