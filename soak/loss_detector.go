package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// faultTail is how long after a fault VMs may still be affected by it.
	faultTail = 3 * time.Second
	// closeRaceWindow is how soon after it was sent a request may find its connection
	// closed: the request and the close were then under way at the same time.
	closeRaceWindow = 200 * time.Millisecond
	// deadlineSlack is how long before its deadline a request may be given up.
	deadlineSlack = 100 * time.Millisecond
	// stopAcceptWindow is how long after a planned stop has begun a request may be sent
	// that the end of the process then cuts.
	stopAcceptWindow = 3 * time.Second
	// graceTail is the last share of the grace period of a stop, in which a process
	// ends the requests that still run.
	graceTail = 1.0 / 6
)

// lossDetector finds requests that were read, or waited to be read, and got neither an
// answer nor a refusal although nothing had failed: planned work, load and engines that
// pause are no excuse.
type lossDetector struct {
	start   time.Time
	faults  []Span
	arrived map[string]bool // requests that reached a server
	vms     map[string]*VM
}

func newLossDetector(site *Site, r *Result) *lossDetector {
	l := &lossDetector{start: r.start, arrived: map[string]bool{}, vms: map[string]*VM{}}
	for _, s := range r.Timeline {
		if s.Kind == Fault {
			l.faults = append(l.faults, s)
		}
	}
	for _, a := range site.Cloud.Ledger.Arrivals() {
		l.arrived[a.Request] = true
	}
	for _, vm := range site.VMs {
		l.vms[vm.Name] = vm
	}
	return l
}

// find returns descriptions of the lost calls, and how many calls no fault excuses.
func (l *lossDetector) find(calls []Call) (lost []string, judged int) {
	for _, c := range calls {
		if l.nearFault(c) || c.Written.IsZero() {
			continue
		}
		judged++
		if l.isLost(c) {
			lost = append(lost, fmt.Sprintf("%s %s at %s, sent at %.2f s, written after %.3f s on a connection idle for %.3f s: neither an answer nor a refusal after %.3f s (%v), without a fault (status %d, reached a server: %v)",
				c.ID, c.Path, c.VM, c.Sent.Sub(l.start).Seconds(), c.Written.Sub(c.Sent).Seconds(), c.Idle.Seconds(), c.Ended.Sub(c.Sent).Seconds(), c.Err, c.Status, l.arrived[c.ID]))
		}
	}
	return lost, judged
}

// nearFault reports whether a fault may have affected a call.
func (l *lossDetector) nearFault(c Call) bool {
	for _, f := range l.faults {
		if f.From.Before(c.Ended) && f.To.Add(faultTail).After(c.Sent) {
			return true
		}
	}
	return false
}

// isLost reports whether a call that no fault affected should have been answered.
// A 502 or 504 counts as lost: like a closed connection, it doesn't tell the caller
// whether the request was run.
func (l *lossDetector) isLost(c Call) bool {
	if c.Complete && c.Status != 502 && c.Status != 504 {
		return false
	}
	if c.Ended.Sub(c.Sent) >= deadlineOf(c.Path)-deadlineSlack || l.cutByStop(c) {
		return false
	}
	return l.arrived[c.ID] || c.Ended.Sub(c.Written) > closeRaceWindow
}

// deadlineOf returns the shorter of the caller's timeout and the shortest timeout of the route.
func deadlineOf(path string) time.Duration {
	if strings.HasPrefix(path, "/stream/") {
		return min(callTimeout, minStreamTimeout)
	}
	return minPlainTimeout
}

// cutByStop reports whether a call was still running when the grace period of its VM ended.
func (l *lossDetector) cutByStop(c Call) bool {
	vm := l.vms[c.VM]
	tail := time.Duration(graceTail * float64(vm.grace))
	for _, stop := range vm.plannedStopTimes() {
		end := stop.Add(vm.grace)
		if c.Sent.Before(stop.Add(stopAcceptWindow)) && c.Ended.After(end.Add(-tail)) && c.Ended.Before(end.Add(tail)) {
			return true
		}
	}
	return false
}
