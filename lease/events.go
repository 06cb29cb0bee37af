package lease

import "github.com/pearyard/pearyard/event"

// Events of leases.
var (
	EventAcquired = event.Define(3101, "lease_taken", event.Info,
		"this process holds the lease, with the fencing number given", "nothing")
	EventLost = event.Define(3102, "lease_lost", event.Warn,
		"another process has taken over the lease, or the lease row was deleted", "nothing; if the holder changes often, check the table service's latency")
	EventLapsed = event.Define(3103, "lease_lapsed", event.Warn,
		"the term ended without a renewal: the table service didn't answer in time, or this process was paused; "+
			"it stops acting as the holder at once and tries to renew the lease",
		"restore the table service; engines keep serving what they have loaded")
	EventReleased = event.Define(3104, "lease_released", event.Info,
		"this process is shutting down and released the lease, so that another process can take it without waiting for the term to end", "nothing")
	EventWriteAmbiguous = event.Define(3105, "lease_write_ambiguous", event.Info,
		"the response to a lease write was lost; the row was read back to find out whether the write took effect", "nothing")
)
