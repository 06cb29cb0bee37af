package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// maxInRest is how many requests of a VM may reach a server in a rest that it has asked
	// that VM for, from restNotice after its answer: they may have been under way.
	maxInRest  = 2
	restNotice = 500 * time.Millisecond
	// maxRest is the longest rest that servers ask for.
	maxRest = 3 * time.Second
)

// RestPlan returns a plan of servers that turn requests away and ask for rest, under load and
// beside restarts of VMs and crashes.
func RestPlan(size Size, seed uint64, length time.Duration) Plan {
	disruptions := []Disruption{restDisruption, restDisruption, restDisruption}
	others := append(slices.Clone(vmRestarts), "VM paused", "server crash", "server crashes and is back under its id", "server connections reset", "store silent", "route added", "load")
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

var restDisruption = Disruption{Name: "servers ask for rest", group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	servers := s.someServers(rng, 2)
	rest := maxRest/10 + time.Duration(rng.Int64N(int64(maxRest*9/10)))
	for _, server := range servers {
		server.TurnAway(rest)
	}
	time.Sleep(duration + rest)
	for _, server := range servers {
		server.TurnAway(0)
	}
}}

// restViolations describes the servers that got requests from a VM while they had the rest
// that they had asked that VM for.
func restViolations(calls []Call, rests []nursery.Rest, arrivals []nursery.Run, timeline []Span) []string {
	sent, byTarget := sendersOf(calls), map[sentTo][]time.Time{}
	for _, a := range arrivals {
		if c, known := sent[a.Request]; known {
			at := sentTo{c.VM, a.Server, a.StartMillis}
			byTarget[at] = append(byTarget[at], a.At)
		}
	}
	var violations []string
	for _, r := range rests {
		c, known := sent[r.Request]
		if !known || stoppedBetween(timeline, r.At, r.At.Add(r.For)) {
			continue
		}
		list := byTarget[sentTo{c.VM, r.Server, r.StartMillis}]
		in := slices.DeleteFunc(slices.Clone(list), func(at time.Time) bool {
			return at.Before(r.At.Add(restNotice)) || at.After(r.At.Add(r.For))
		})
		if len(in) > maxInRest {
			violations = append(violations, fmt.Sprintf("server %s got %d requests from %s in %v of rest", r.Server, len(in), c.VM, r.For))
		}
	}
	return violations
}
