package membership

import "time"

const (
	// shortWindow, middleWindow and longWindow are the numbers of recent probe
	// outcomes over which failures are counted. The short window detects at once
	// that this process is cut off; the longer ones keep that verdict when a few
	// probes happen to succeed. On the side of a partition that holds a fifth of
	// the site, the longest window errs once in 10,000 cases.
	shortWindow  = 4
	middleWindow = 12
	longWindow   = 32
	// selfChecks is the number of other members that are probed before one that
	// did not answer is suspected, and selfCheckFailures is how many of them may
	// fail: when a whole rack is lost, three probes in a row often hit another of
	// its VMs.
	selfChecks        = 3
	selfCheckFailures = 1
)

// health decides from the latest probe outcomes whether failed probes of this
// process are evidence against the probed members.
type health struct {
	failures [longWindow]bool
	outcomes int       // number of outcomes recorded; the latest longWindow are kept in failures
	lastTick time.Time // a long gap since then shows that this process was frozen
	epoch    int       // incremented after a freeze; probes begun in an earlier epoch are discarded
}

func (h *health) addOutcome(failed bool) {
	h.failures[h.outcomes%longWindow] = failed
	h.outcomes++
}

// reliable reports whether this process may suspect others and declare suspects
// dead. To a process that is cut off or on the smaller side of a partition nearly
// all others look dead, and its suspicions would take them out of use everywhere
// once the partition heals. A process most of whose latest probes failed therefore
// suspects nobody. On the larger side few probes fail, so dead members are still
// found there.
//
// lost of the others were declared dead lately and are not probed any more. A probe that
// would have hit one of them counts as failed: otherwise each member that the smaller side
// declares dead by chance makes it take itself for more reliable, and the next death likelier.
func (h *health) reliable(lost, others int) bool {
	for _, window := range []int{shortWindow, middleWindow, longWindow} {
		if h.failuresAmong(window)*(others-lost)+window*lost > window*others/2 {
			return false
		}
	}
	return true
}

// failuresAmong returns the number of failures among the latest window outcomes.
func (h *health) failuresAmong(window int) int {
	n := 0
	for i := 1; i <= window && i <= h.outcomes; i++ {
		if h.failures[(h.outcomes-i)%longWindow] {
			n++
		}
	}
	return n
}
