package membership

import "time"

const (
	// shortWindow and longWindow are over how many outcomes of own probes
	// failures are counted: the short one notices at once that this process is
	// cut off, the long one holds on to it when a few probes happen to succeed.
	shortWindow = 4
	longWindow  = 16
	// selfChecks is how many other members are probed, and have to answer,
	// before one that didn't answer is accused. On the smaller side of a
	// partition with a fifth of the site, all three do so once in 125 times.
	selfChecks = 3
)

// health judges whether this process's own failed probes prove anything.
type health struct {
	failures [longWindow]bool
	at       int
	lastTick time.Time
	epoch    int // raised by a freeze; a probe begun earlier proves nothing
}

func (h *health) note(failed bool) {
	h.failures[h.at%longWindow] = failed
	h.at++
}

// sound guards against accusations by a process that is cut off or on the
// smaller side of a partition: to it, nearly all others look dead, and its
// accusations would take them out of use everywhere once the partition mends.
// A process most of whose latest probes failed therefore accuses nobody. On the
// larger side few probes fail, so the dead are still found there.
func (h *health) sound() bool {
	return h.count(shortWindow) <= shortWindow/2 && h.count(longWindow) <= longWindow/2
}

// count returns the failures among the latest outcomes.
func (h *health) count(window int) int {
	n := 0
	for i := 1; i <= window && i <= h.at; i++ {
		if h.failures[(h.at-i)%longWindow] {
			n++
		}
	}
	return n
}
