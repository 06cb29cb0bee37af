package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// maxOverlap is how long a server may work on a request beside a run of it that began later at
// another server.
const maxOverlap = 400 * time.Millisecond

// disturbances are the times in which VMs, by name, and the paths to servers, by address, were
// disturbed, and those in which the soak stalled, by soakProcess and in order. A span without an end lasts.
type disturbances map[string][]Span

func (d disturbances) between(name string, from, to time.Time) bool {
	return slices.ContainsFunc(d[name], func(s Span) bool {
		return s.From.Before(to) && (s.To.IsZero() || s.To.After(from))
	})
}

// disturbances returns those of the site so far.
func (s *Site) disturbances() disturbances {
	d := disturbances{soakProcess: stalls.all()}
	for _, vm := range s.VMs {
		d[vm.Name] = vm.disturbed.all()
	}
	for server, proxy := range s.proxies {
		d[server.Address] = proxy.disturbed.all()
	}
	return d
}

// disturbanceLog records when a VM or a path was disturbed.
type disturbanceLog struct {
	mu    sync.Mutex
	spans []Span
}

// begin begins a disturbance, unless one lasts.
func (l *disturbanceLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastsLocked() {
		l.spans = append(l.spans, Span{From: time.Now()})
	}
}

// end ends the disturbance that lasts, if there is one.
func (l *disturbanceLog) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastsLocked() {
		l.spans[len(l.spans)-1].To = time.Now()
	}
}

// moment records a disturbance without a duration.
func (l *disturbanceLog) moment() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lastsLocked() {
		now := time.Now()
		l.spans = append(l.spans, Span{From: now, To: now})
	}
}

func (l *disturbanceLog) lastsLocked() bool {
	return len(l.spans) > 0 && l.spans[len(l.spans)-1].To.IsZero()
}

func (l *disturbanceLog) all() []Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.spans)
}

// overlapViolations describes the runs that began at a server while another one worked on the
// same request for more than maxOverlap. All works must be of one site, as ids repeat between
// sites, and sorted by their begin. The VM, and the paths to both servers, must have been undisturbed for contactTime.
// Stalls of the soak don't count as work. A request whose call is not recorded, as a probe, has no
// VM that could excuse it.
func overlapViolations(works []nursery.Work, calls []Call, disturbed disturbances) []string {
	sent, former := sendersOf(calls), map[string][]nursery.Work{}
	var violations []string
	for _, next := range works {
		until := disturbed.after(next.Begin, maxOverlap)
		for _, f := range former[next.Request] {
			excused := slices.ContainsFunc([]string{sent[next.Request].VM, f.Address, next.Address}, func(name string) bool {
				return disturbed.between(name, next.Begin.Add(-contactTime), until)
			})
			if f.Address != next.Address && f.IsOn(until) && !excused {
				violations = append(violations, fmt.Sprintf("%s from %s: %s worked on beside a later run: %s", next.Request, sent[next.Request].VM, formatWork(f, next.Begin), formatWork(next, next.Begin)))
			}
		}
		former[next.Request] = append(former[next.Request], next)
	}
	return violations
}

// formatWork describes a run with its times from a moment on.
func formatWork(w nursery.Work, from time.Time) string {
	how, end := "anew", "no end yet"
	if w.FromCopy {
		how = "from a copy"
	}
	if !w.End.IsZero() {
		end = fmt.Sprintf("ended at %+.3f s", w.End.Sub(from).Seconds())
	}
	return fmt.Sprintf("%s (%s after event %d, %d events, began at %+.3f s, %s)", w.Server, how, w.ResumedAfter, w.Events, w.Begin.Sub(from).Seconds(), end)
}

// countFromCopy counts the runs that resumed from a copy.
func countFromCopy(works []nursery.Work) int {
	n := 0
	for _, w := range works {
		if w.FromCopy {
			n++
		}
	}
	return n
}
