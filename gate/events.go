package gate

import "github.com/pearyard/pearyard/event"

// Events of calls at a sidecar.
var (
	EventCallRefused = event.Define(2350, "call_refused", event.Info,
		"the sidecar refused a dispatched call that may not be repeated; this dispatch ran nothing", "nothing; many with code overloaded mean that the memory of attempts is full: see the gate's dump")
	EventCallFailed = event.Define(2351, "call_without_answer", event.Warn,
		"the service gave no answer to a call that may not be repeated", "look at the service beside this sidecar")
	EventVoided = event.Define(2352, "attempt_voided", event.Info,
		"an attempt that had not arrived was voided at a router's request; it will be refused if it arrives", "nothing")
	EventVoidUnknown = event.Define(2353, "void_unknown", event.Warn,
		"a router asked about an attempt of which this sidecar can't tell whether it ran", "nothing; the code says why: an earlier run of this sidecar, a lost answer, or memory")
)
