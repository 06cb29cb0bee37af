package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// contact is how long after a fault VMs may still show it.
	contact = 3 * time.Second
	// crossing is how soon after it was sent a request may find its connection
	// closed: it then crossed the close.
	crossing = 200 * time.Millisecond
	// timeSlack is how much before its time is up a request may be given up.
	timeSlack = 100 * time.Millisecond
	// stopTakes is how long after a planned stop has begun callers may still send
	// what the process's end then cuts.
	stopTakes = 3 * time.Second
	// stopTail is the last part of a stop's grace period, in which a process ends
	// what still runs.
	stopTail = 1.0 / 6
)

// losses finds callers' requests that were read, or waited to be read, and got
// neither an answer nor a refusal although nothing had failed: planned work,
// load and engines that pause are no excuse.
type losses struct {
	began   time.Time
	faults  []Span
	arrived map[string]bool // requests that reached a server
	vms     map[string]*VM
}

func newLosses(site *Site, r *Result) *losses {
	l := &losses{began: r.began, arrived: map[string]bool{}, vms: map[string]*VM{}}
	for _, s := range r.Story {
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

// among returns the losses among calls, in words, and how many calls were judged.
func (l *losses) among(calls []Call) (lost []string, judged int) {
	for _, c := range calls {
		if l.faulty(c) || c.Written.IsZero() {
			continue
		}
		judged++
		if l.isLost(c) {
			lost = append(lost, fmt.Sprintf("%s %s at %s, sent at %.2f s, written after %.3f s on a connection idle for %.3f s: neither an answer nor a refusal after %.3f s (%v), beside planned work only (status %d, reached a server: %v)",
				c.ID, c.Path, c.VM, c.Sent.Sub(l.began).Seconds(), c.Written.Sub(c.Sent).Seconds(), c.Idle.Seconds(), c.Ended.Sub(c.Sent).Seconds(), c.Failed, c.Status, l.arrived[c.ID]))
		}
	}
	return lost, judged
}

// faulty tells whether a fault may have touched a call.
func (l *losses) faulty(c Call) bool {
	for _, f := range l.faults {
		if f.From.Before(c.Ended) && f.To.Add(contact).After(c.Sent) {
			return true
		}
	}
	return false
}

// isLost tells whether a call that no fault has touched should have been answered.
// A 502 or 504 leaves its caller as much in the dark as a closed connection.
func (l *losses) isLost(c Call) bool {
	if c.Whole && c.Status != 502 && c.Status != 504 {
		return false
	}
	if c.Ended.Sub(c.Sent) >= timeOf(c.Path)-timeSlack || l.cutByStop(c) {
		return false
	}
	return l.arrived[c.ID] || c.Ended.Sub(c.Written) > crossing
}

// timeOf is the shortest that a call may take by its caller's word and its route's.
func timeOf(path string) time.Duration {
	if strings.HasPrefix(path, "/stream/") {
		return min(callTimeout, leastStreamTimeout)
	}
	return leastPlainTimeout
}

// cutByStop tells whether a call was still at work when its VM's grace period ended.
func (l *losses) cutByStop(c Call) bool {
	vm := l.vms[c.VM]
	tail := time.Duration(stopTail * float64(vm.grace))
	for _, stop := range vm.stopped() {
		end := stop.Add(vm.grace)
		if c.Sent.Before(stop.Add(stopTakes)) && c.Ended.After(end.Add(-tail)) && c.Ended.Before(end.Add(tail)) {
			return true
		}
	}
	return false
}
