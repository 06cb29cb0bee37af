package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// leavingTimeout is how long after an answer that says that its server leaves a VM may
	// still send requests there.
	leavingTimeout = 2 * time.Second
	// leavingTime is how long a server that says so stays at least, so that it shows what
	// still reaches it.
	leavingTime = leavingTimeout + 1500*time.Millisecond
	// leavingShare is the largest share of the servers that leave at a time.
	leavingShare = 3
)

// LeavingPlan returns a plan of servers that say in their answers that they leave, beside
// outages of the store, restarts of VMs, crashes and load.
func LeavingPlan(size Size, seed uint64, length time.Duration) Plan {
	// Restarts of VMs excuse what would show here, so they are few.
	others := []string{"VM killed", "store silent", "store busy", "VM cut from the store", "history dropped", "server crash", "zone of servers crash", "route added", "load"}
	disruptions := append(slices.Repeat([]Disruption{leavingDisruption}, len(others)), restDisruption)
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

var leavingDisruption = Disruption{Name: "servers say that they leave", group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	servers := s.someServers(rng, leavingShare)
	entry := rng.IntN(3) // when their entries say so: before the answers, after them, or not at all
	for _, server := range servers {
		if entry == 0 {
			server.Drain()
		}
		server.SayLeaving()
	}
	time.Sleep(duration)
	for _, server := range servers {
		if entry == 1 {
			server.Drain()
		}
	}
	time.Sleep(leavingTime)
	for _, server := range servers {
		server.Crash()
		_ = []func() error{server.Restart, server.RestartWithSameID}[rng.IntN(2)]()
	}
}}

// someServers returns up to one in share of the servers.
func (s *Site) someServers(rng *rand.Rand, share int) []*nursery.Server {
	servers := slices.Clone(s.Servers)
	rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:1+rng.IntN(max(1, len(servers)/share))]
}

// senders knows which VM sent a request that reached a server, and when its caller had sent it.
type senders map[string]Call

func sendersOf(calls []Call) senders {
	out := make(senders, len(calls))
	for _, c := range calls {
		out[c.ID] = c
	}
	return out
}

// sentTo is the sender of requests and the start of the server that they reach.
type sentTo struct {
	vm, server  string
	startMillis int64
}

// leavingViolations describes the requests that reached a server later than leavingTimeout
// after the VM that sent them had passed on an answer in which the server said that it leaves.
func leavingViolations(calls []Call, arrivals []nursery.Run, timeline []Span) []string {
	sent, told := sendersOf(calls), map[sentTo]time.Time{}
	for _, a := range arrivals {
		c, known := sent[a.Request]
		at := sentTo{c.VM, a.Server, a.StartMillis}
		if first, again := told[at]; known && a.Leaving && !c.ToldLeaving.IsZero() && (!again || c.ToldLeaving.Before(first)) {
			told[at] = c.ToldLeaving
		}
	}
	var violations []string
	for _, a := range arrivals {
		c := sent[a.Request]
		first, known := told[sentTo{c.VM, a.Server, a.StartMillis}]
		if known && c.Sent.Sub(first) > leavingTimeout && !stoppedBetween(timeline, first, a.At) {
			violations = append(violations, fmt.Sprintf("%s reached server %s from %s %v after that VM had passed on an answer that says that the server leaves", a.Request, a.Server, c.VM, c.Sent.Sub(first)))
		}
	}
	return violations
}

// stoppedBetween reports whether a VM was restarted or paused in a time. Which one is not
// known.
func stoppedBetween(timeline []Span, from, to time.Time) bool {
	return slices.ContainsFunc(timeline, func(s Span) bool {
		return (slices.Contains(vmRestarts, s.Name) || s.Name == "VM paused") && s.From.Before(to) && s.To.After(from)
	})
}
