package lease

import "time"

// instant is a reading of both clocks. The monotonic one stands still while a
// VM is suspended on some machines, the wall clock may be set back; elapsed
// takes the larger of the two, so that either alone ends a lease. A jump of the
// wall clock forward ends it too early, which is safe.
type instant struct {
	mono time.Time // compared by its monotonic reading
	wall time.Time // without one
}

func now() instant {
	t := time.Now()
	return instant{mono: t, wall: t.Round(0)}
}

// elapsed returns how long ago i was, by whichever clock says longer.
func (i instant) elapsed(at instant) time.Duration {
	return max(at.mono.Sub(i.mono), at.wall.Sub(i.wall))
}

// watched returns how long ago i was, by whichever clock says shorter: a waiter
// must not take over because its wall clock jumped.
func (i instant) watched(at instant) time.Duration {
	return min(at.mono.Sub(i.mono), at.wall.Sub(i.wall))
}
