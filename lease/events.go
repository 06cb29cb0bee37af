package lease

import "github.com/pearyard/pearyard/event"

// Events of leases.
var (
	EventTaken = event.Define(3101, "lease_taken", event.Info,
		"this process holds the lease, with the fencing number given", "nothing")
	EventLost = event.Define(3102, "lease_lost", event.Warn,
		"another process has taken the lease over", "nothing; if it changes hands all the time, see the table service's latency")
	EventLapsed = event.Define(3103, "lease_lapsed", event.Warn,
		"the term ended without a renewal: the table service didn't answer in time, or this process was paused; "+
			"it stops acting at once and tries to renew",
		"bring the table service back; engines keep serving what they have meanwhile")
	EventReleased = event.Define(3104, "lease_released", event.Info,
		"this process is stopping and gave the lease up, so that another takes it without waiting", "nothing")
	EventAmbiguous = event.Define(3105, "lease_write_ambiguous", event.Info,
		"the answer to a lease write was lost; the row was read back to see whether it took effect", "nothing")
)
