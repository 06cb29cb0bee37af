package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// faultTail is how long after its end a fault excuses lost requests, since VMs may
	// still be affected by it.
	faultTail = 3 * time.Second
	// closeRaceWindow is how soon after it was sent a request may find its kept-alive
	// connection closed: the request and the close were then under way at the same time.
	closeRaceWindow = 200 * time.Millisecond
	// deadlineSlack is how long before its deadline a request may be given up without
	// counting as lost.
	deadlineSlack = 100 * time.Millisecond
	// stopAcceptWindow is the time after the start of a planned stop in which a VM may
	// accept a request that the end of its grace period then cuts.
	stopAcceptWindow = 3 * time.Second
	// graceTail is the share of the grace period within which, before and after the end
	// of that period, a running request may be cut. A process cancels the requests that
	// still run shortly before the grace period is over, and is killed when it is.
	graceTail = 1.0 / 6
)

// lossDetector finds requests that a VM read, or left unread, and that got neither an
// answer nor a refusal although nothing had failed: planned work, load and engines that
// pause are no excuse. A stall of the soak, with all servers, is a fault.
type lossDetector struct {
	start   time.Time // of the run
	faults  []Span
	arrived map[string]bool // requests that reached a server
	vms     map[string]*VM
}

func newLossDetector(site *Site, r *Result) *lossDetector {
	d := &lossDetector{start: r.start, faults: stalls.faults(), arrived: map[string]bool{}, vms: map[string]*VM{}}
	for _, s := range r.Timeline {
		if s.Kind == Fault {
			d.faults = append(d.faults, s)
		}
	}
	for _, a := range site.Cloud.Ledger.Arrivals() {
		d.arrived[a.Request] = true
	}
	for _, vm := range site.VMs {
		d.vms[vm.Name] = vm
	}
	return d
}

// find returns descriptions of the lost calls, and how many calls it checked: those that
// were sent completely and that no fault may have affected.
func (d *lossDetector) find(calls []Call) (lost []string, checked int) {
	for _, c := range calls {
		if d.nearFault(c) || c.Written.IsZero() || c.left() {
			continue
		}
		checked++
		if d.isLost(c) {
			lost = append(lost, fmt.Sprintf("%s %s at %s, sent at %.2f s, written after %.3f s on a connection idle for %.3f s: neither an answer nor a refusal after %.3f s (%v), without a fault (status %d, reached a server: %v)",
				c.ID, c.Path, c.VM, c.Sent.Sub(d.start).Seconds(), c.Written.Sub(c.Sent).Seconds(), c.Idle.Seconds(), c.Ended.Sub(c.Sent).Seconds(), c.Err, c.Status, d.arrived[c.ID]))
		}
	}
	return lost, checked
}

// nearFault reports whether a fault may have affected a call.
func (d *lossDetector) nearFault(c Call) bool {
	for _, f := range d.faults {
		if f.From.Before(c.Ended) && f.To.Add(faultTail).After(c.Sent) {
			return true
		}
	}
	return false
}

// isLost reports whether a call that no fault affected should have been answered.
// A 502 or 504 counts as lost: like a closed connection, it doesn't tell the caller
// whether the request was run.
func (d *lossDetector) isLost(c Call) bool {
	if c.Complete && c.Status != 502 && c.Status != 504 {
		return false
	}
	if c.Ended.Sub(c.Sent) >= deadlineOf(c.Path)-deadlineSlack || d.cutByStop(c) {
		return false
	}
	return d.arrived[c.ID] || !c.Reused || c.Ended.Sub(c.Written) > closeRaceWindow
}

// deadlineOf returns the shortest time after which a call may be given up: the caller's
// timeout or the shortest timeout of the route.
func deadlineOf(path string) time.Duration {
	if strings.HasPrefix(path, "/stream/") {
		return min(callTimeout, minStreamTimeout)
	}
	return minPlainTimeout
}

// cutByStop reports whether the end of the grace period of a planned stop cut a call that
// was sent before the stop or within stopAcceptWindow of its start.
func (d *lossDetector) cutByStop(c Call) bool {
	vm := d.vms[c.VM]
	tail := time.Duration(graceTail * float64(vm.grace))
	for _, stop := range vm.plannedStopTimes() {
		end := stop.Add(vm.grace)
		if c.Sent.Before(stop.Add(stopAcceptWindow)) && c.Ended.After(end.Add(-tail)) && c.Ended.Before(end.Add(tail)) {
			return true
		}
	}
	return false
}
