package retry

import "github.com/pearyard/pearyard/event"

// Events of retries.
var (
	EventBudgetSpent = event.Define(2650, "retry_budget_spent", event.Warn,
		"A service's retries reached their share of its first tries; refusals go to the callers at once.",
		"Find out why so many tries fail: look for PY2651 and for refusals by code. More retries would make it worse.")
	EventCircuitOpen = event.Define(2651, "circuit_open", event.Warn,
		"A backend server failed several requests in a row; it gets one probe at a time until one succeeds.",
		"Look at the backend server and its sidecar; nothing if it is being replaced.")
	EventCircuitClosed = event.Define(2652, "circuit_closed", event.Info,
		"A backend server answered again and gets its share.",
		"nothing")
)
