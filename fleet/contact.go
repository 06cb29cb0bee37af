package fleet

import (
	"sync"
	"time"
)

// contactTimeout is the time without any datagram of another VM after which this one has
// been out of touch: each VM hears of loads, and of the candidates, every second.
const contactTimeout = 1500 * time.Millisecond

// contact records when this process last was out of touch with the other VMs: cut off, or
// standing still. What was told meanwhile may be lost.
type contact struct {
	mu         sync.Mutex
	heardAt    time.Time
	regainedAt time.Time // zero: it has been in touch all the time
}

// heard records a datagram of another VM. It reports whether this process was out of touch
// before.
func (c *contact) heard(now time.Time) (regained bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	regained = elapsed(c.heardAt, now) > contactTimeout
	c.heardAt = now
	if regained {
		c.regainedAt = now
	}
	return regained
}

// lostWithin reports whether this process was out of touch at some time of the last d.
func (c *contact) lostWithin(d time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return elapsed(c.heardAt, now) > contactTimeout || (!c.regainedAt.IsZero() && now.Sub(c.regainedAt) < d)
}

// elapsed returns the time between two moments by the monotonic clock or the time of day,
// whichever says more: the monotonic one stands still while this VM is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
