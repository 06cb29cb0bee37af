package gate

import "github.com/pearyard/pearyard/event"

// Events of at-most-once calls at a sidecar.
var (
	EventCallRefused = event.Define(2350, "call_refused", event.Info,
		"the sidecar refused to run a dispatched at-most-once call", "nothing; many with code overloaded mean that no more attempts can be remembered: see the gate's dump")
	EventCallFailed = event.Define(2351, "call_without_answer", event.Warn,
		"the service did not answer an at-most-once call", "check the service beside this sidecar")
	EventVoided = event.Define(2352, "attempt_voided", event.Info,
		"an attempt that had not arrived was voided at a router's request; it will be refused if it arrives", "nothing")
	EventVoidUnknown = event.Define(2353, "void_unknown", event.Warn,
		"a router asked about an attempt, and this sidecar can't tell whether it ran", "nothing; the code says why: an earlier incarnation of this sidecar, a lost answer or a forgotten attempt, or no room for another attempt")
)
