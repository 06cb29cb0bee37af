package retry

import "github.com/pearyard/pearyard/event"

// Events emitted by this package.
var (
	EventBudgetSpent = event.Define(2650, "retry_budget_spent", event.Warn,
		"A service's retries reached the limit set by its retry budget; refused requests are no longer retried and the refusals are returned to the callers.",
		"Find out why so many requests fail: look for PY2651 and for refusals by code. More retries would make it worse.")
	EventCircuitOpen = event.Define(2651, "circuit_open", event.Warn,
		"A backend server failed several consecutive requests; it receives one probe at a time until a request succeeds.",
		"Check the backend server and its sidecar; nothing if it is being replaced.")
	EventCircuitClosed = event.Define(2652, "circuit_closed", event.Info,
		"A backend server answered again and receives its normal share of requests.",
		"nothing")
)
