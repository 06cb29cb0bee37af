package lease

import "time"

// instant is a reading of the monotonic and the wall clock. On some machines the
// monotonic clock stops while a VM is suspended, and the wall clock may be set
// back. maxElapsed uses the clock that advanced more, so that either one alone can
// end a lease. If the wall clock jumps forward, the lease ends too early, which is
// safe.
type instant struct {
	mono time.Time // with a monotonic reading
	wall time.Time // without a monotonic reading
}

func now() instant {
	t := time.Now()
	return instant{mono: t, wall: t.Round(0)}
}

// maxElapsed returns the time from i to at by the clock that advanced more.
func (i instant) maxElapsed(at instant) time.Duration {
	return max(at.mono.Sub(i.mono), at.wall.Sub(i.wall))
}

// minElapsed returns the time from i to at by the clock that advanced less. A
// waiter uses it, since it must not take over because its wall clock jumped.
func (i instant) minElapsed(at instant) time.Duration {
	return min(at.mono.Sub(i.mono), at.wall.Sub(i.wall))
}
