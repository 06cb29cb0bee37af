package sidecar

import "github.com/pearyard/pearyard/event"

var (
	eventStarted = event.Define(3000, "sidecar_started", event.Info,
		"The sidecar listens and watches its backend server.", "nothing")
	eventEngineDied = event.Define(3001, "engine_died", event.Error,
		"The engine stopped answering; every generation that ran on it resumes elsewhere.",
		"see why the engine died; nothing is needed for the callers")
	eventEngineBack = event.Define(3002, "engine_back", event.Info,
		"The engine answers again and gets new work.", "nothing")
	eventLeaving = event.Define(3003, "backend_server_leaving", event.Info,
		"The backend server takes no new work; what runs is finished or moved.", "nothing")
	eventDrained = event.Define(3004, "backend_server_drained", event.Info,
		"Nothing runs on the backend server any more; it may be stopped.", "stop the VM")
	eventMoving = event.Define(3005, "generation_moving", event.Info,
		"A long generation is asked to resume on another backend server, since this one is leaving.", "nothing")
	eventOrphaned = event.Define(3006, "generation_orphaned", event.Warn,
		"No router has read this generation for the grace time; its engine was told to stop.",
		"nothing, unless it is frequent: then see why routers or callers vanish")
	eventAccepted = event.Define(3007, "generation_accepted", event.Info,
		"The engine was given an attempt at a generation.", "nothing")
	eventEnded = event.Define(3008, "generation_ended", event.Info,
		"An attempt at a generation ended on this engine.", "nothing")
	eventStalled = event.Define(3010, "generation_stalled", event.Warn,
		"A generation stands still although its engine answers: the router that reads it asks another backend server to go on with it, and waits if there is none; given_up: no router reads it, and it was ended.",
		"see what the engine does: stuck, or out of memory")
	eventRefused = event.Define(3009, "attempt_refused", event.Info,
		"An attempt was refused before anything of it ran.", "nothing")
)
