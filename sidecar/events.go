package sidecar

import "github.com/pearyard/pearyard/event"

var (
	eventStarted = event.Define(3000, "sidecar_started", event.Info,
		"The sidecar is listening and monitors its backend server.", "nothing")
	eventEngineDied = event.Define(3001, "engine_died", event.Error,
		"The engine stopped responding; every generation that ran on it is resumed elsewhere.",
		"find out why the engine died; nothing is needed for the callers")
	eventEngineBack = event.Define(3002, "engine_back", event.Info,
		"The engine responds again and receives new work.", "nothing")
	eventLeaving = event.Define(3003, "backend_server_leaving", event.Info,
		"The backend server accepts no new work; running work is finished or moved.", "nothing")
	eventDrained = event.Define(3004, "backend_server_drained", event.Info,
		"No work is left on the backend server; it may be stopped.", "stop the VM")
	eventMoving = event.Define(3005, "generation_moving", event.Info,
		"A long generation is asked to resume on another backend server because this one is draining.", "nothing")
	eventOrphaned = event.Define(3006, "generation_orphaned", event.Warn,
		"No router read this generation for the grace period; the engine was told to stop it.",
		"nothing, unless it is frequent: then find out why routers or callers disappear")
	eventAccepted = event.Define(3007, "generation_accepted", event.Info,
		"The engine was given an attempt at a generation.", "nothing")
	eventEnded = event.Define(3008, "generation_ended", event.Info,
		"An attempt at a generation ended on this engine.", "nothing")
	eventStalled = event.Define(3010, "generation_stalled", event.Warn,
		"A generation produces no tokens although its engine responds to probes: the router that reads it asks another backend server to continue it, and waits if there is none. given_up: no router reads it, and it was ended.",
		"check whether the engine is stuck or out of memory")
	eventRefused = event.Define(3009, "attempt_refused", event.Info,
		"An attempt was refused before any part of it ran.", "nothing")
)
