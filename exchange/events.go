package exchange

import "github.com/pearyard/pearyard/event"

// Events of requests on entry VMs.
var (
	EventServed = event.Define(2720, "exchange_served", event.Info,
		"a request has its whole answer", "nothing; with ended_by=server it is the backend server's own failure")
	EventRefused = event.Define(2721, "exchange_refused", event.Warn,
		"a request was refused that has not run and never will", "see err; if it lasts, there are too few backend servers")
	EventFailed = event.Define(2722, "exchange_failed", event.Error,
		"a request ended without an answer although it may have run; ended_by names the side that ended it", "follow the request's earlier lines; see docs/OPERATIONS.md")
	EventCallerLeft = event.Define(2723, "exchange_caller_left", event.Info,
		"the caller closed its connection before the answer was whole; ended_by=deadline: as its deadline passed", "nothing")
	EventCut = event.Define(2734, "exchange_cut", event.Warn,
		"this process's planned stop cut a request whose caller was still waiting", "if there are many, the grace period is too short for these requests")
	EventCallerLost = event.Define(2735, "exchange_caller_lost", event.Info,
		"the connection to the caller was reset or went dead before the answer was whole; the caller may still have been waiting", "if there are many, look at the network between callers and this VM")
	EventAgain = event.Define(2724, "exchange_again", event.Info,
		"an attempt failed and the request is sent to another backend server", "nothing")
	EventResumed = event.Define(2725, "exchange_resumed", event.Info,
		"a stream goes on at another backend server", "nothing")
	EventServerLost = event.Define(2726, "exchange_server_lost", event.Warn,
		"a backend server does not answer; it gets nothing until it gives a sign of life", "nothing, unless its zone loses several")
	EventQuarantined = event.Define(2727, "exchange_quarantined", event.Warn,
		"a request was refused because the same request crashed several backend servers", "tell the organisation whose request it is")
	EventRestarted = event.Define(2730, "exchange_server_restarted", event.Info,
		"a backend server was started again while the store does not tell of it; its new start is used", "nothing")
	EventCopied = event.Define(2729, "exchange_copied", event.Info,
		"the server that held the copy of a stream's memory is lost or leaves; another copy was asked for", "nothing")
	EventRunning = event.Define(2732, "exchange_running", event.Info,
		"streams that have been on their way for a second, each named once with its backend server", "nothing")
	EventTrial = event.Define(2733, "exchange_trial", event.Info,
		"a stream that is expected to be late was sent on trial, since no prompt of its service was for a while", "nothing; if it lasts, there are too few backend servers")
	EventSilent = event.Define(2736, "exchange_silent", event.Info,
		"a stream's server sends nothing; the stream stays there until another server goes on with it", "nothing; if it lasts, there are too few backend servers")
	EventWentOn = event.Define(2737, "exchange_went_on", event.Info,
		"a stream's server sends again after a silence; what was begun beside it, if anything, is ended", "nothing")
	EventLocated = event.Define(2738, "exchange_prompt_located", event.Info,
		"a caller came back for the rest of its stream; servers were asked which of them keep its prompt", "nothing")
	EventNotOffered = event.Define(2739, "exchange_not_offered", event.Info,
		"no other server goes on with a stream whose server sends nothing; err says why", "nothing; with the retry budget or no server as the reason, if it lasts, there are too few backend servers")
	EventCrashNoted = event.Define(2728, "exchange_crash_noted", event.Warn,
		"a backend server broke off while it ran this request; at several such losses the request is refused", "nothing")
)
