package membership

import "time"

const (
	// shortWindow and longWindow are over how many outcomes of own probes
	// failures are counted: the short one notices at once that this process is
	// cut off, the longer ones hold on to it when a few probes happen to succeed.
	// On a side with a fifth of the site, the longest is misled once in 10,000.
	shortWindow  = 4
	middleWindow = 12
	longWindow   = 32
	// selfChecks is how many other members are probed before one that didn't
	// answer is accused, and selfCheckFailures how many of them needn't answer:
	// when a rack is lost, three probes in a row often meet another of its VMs.
	selfChecks        = 3
	selfCheckFailures = 1
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
	for _, window := range []int{shortWindow, middleWindow, longWindow} {
		if h.count(window) > window/2 {
			return false
		}
	}
	return true
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
