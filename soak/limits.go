package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// A server that names a limit may get half as much again and limitExtra requests in any
// limitSpan that ends later than contactTime after it first did so. What is sent later
// than limitGrace after that counts. The platform excuses a VM that was restarted for
// contactTime; servers don't see which VM sends, so here nothing counts in that time.
const (
	limitSpan  = 4 * time.Second
	limitGrace = 500 * time.Millisecond
	limitExtra = 5
	// limitTime is how long a server names a limit at least: long enough to be checked
	// after the last restart of a VM.
	limitTime = 2*contactTime + limitSpan
)

// LimitPlan returns a plan of servers that name limits, beside restarts of VMs, crashes of
// servers and load.
func LimitPlan(size Size, seed uint64, length time.Duration) Plan {
	disruptions := []Disruption{limitDisruption, limitDisruption}
	others := append(slices.Clone(vmRestarts), "server crash", "server crashes and is back under its id", "route added", "load")
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

// disruptionsNamed returns the disruptions with the given names.
func disruptionsNamed(names []string) []Disruption {
	var found []Disruption
	for _, d := range Disruptions {
		if slices.Contains(names, d.Name) {
			found = append(found, d)
		}
	}
	return found
}

var limitDisruption = Disruption{Name: "servers name limits", group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	servers := slices.Clone(s.Servers)
	rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	servers = servers[:1+rng.IntN(len(servers))]
	limit := 0.2 + 6*rng.Float64()
	for _, server := range servers {
		server.NameRateLimit(limit)
	}
	time.Sleep(limitTime + duration)
	for _, server := range servers {
		server.NameRateLimit(-1)
	}
}}

// limitViolations describes the servers that got more than the limits that they named.
func limitViolations(arrivals []nursery.Run, timeline []Span) []string {
	byServer := map[string][]nursery.Run{} // by start: a new one has named no limit
	for _, a := range arrivals {
		if !restartedBefore(timeline, a.At) {
			start := fmt.Sprintf("%s#%d", a.Server, a.StartMillis)
			byServer[start] = append(byServer[start], a)
		}
	}
	var violations []string
	for server, list := range byServer {
		slices.SortFunc(list, func(a, b nursery.Run) int { return a.At.Compare(b.At) })
		for len(list) > 0 {
			var period []nursery.Run
			period, list = limitPeriod(list)
			if excess := limitExcess(period); excess != "" {
				violations = append(violations, fmt.Sprintf("server %s: %s", server, excess))
			}
		}
	}
	return violations
}

// vmRestarts are the disruptions that restart VMs.
var vmRestarts = []string{"VM killed", "VMs all killed", "VM stopped as planned"}

// restartedBefore reports whether a VM was being restarted at most contactTime before.
func restartedBefore(timeline []Span, at time.Time) bool {
	return slices.ContainsFunc(timeline, func(s Span) bool {
		return slices.Contains(vmRestarts, s.Name) && at.After(s.From) && at.Before(s.To.Add(contactTime))
	})
}

// limitPeriod splits off the first arrivals with the same limit.
func limitPeriod(list []nursery.Run) (period, rest []nursery.Run) {
	n := 1
	for n < len(list) && sameLimit(list[0], list[n]) {
		n++
	}
	return list[:n], list[n:]
}

func sameLimit(a, b nursery.Run) bool {
	if a.RateLimit == nil || b.RateLimit == nil {
		return a.RateLimit == b.RateLimit
	}
	return *a.RateLimit == *b.RateLimit
}

// limitExcess describes the first span in which a server with a limit got too many requests;
// empty: none.
func limitExcess(period []nursery.Run) string {
	if period[0].RateLimit == nil {
		return ""
	}
	named, first := period[0].At, 0
	allowed := 1.5**period[0].RateLimit*limitSpan.Seconds() + limitExtra
	for last, a := range period {
		for period[first].At.Before(a.At.Add(-limitSpan)) || (period[first].At.Sub(named) < limitGrace && first < last) {
			first++
		}
		if n := last - first + 1; a.At.Sub(named) > contactTime && float64(n) > allowed {
			return fmt.Sprintf("%d requests from %.2f s to %.2f s after it named a limit of %.2f a second, %.1f allowed",
				n, period[first].At.Sub(named).Seconds(), a.At.Sub(named).Seconds(), *period[0].RateLimit, allowed)
		}
	}
	return ""
}
