package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// changeTimeout is how long after a change it must be in force on VMs that nothing has
	// disturbed for contactTime. It equals the VMs' setting configApplyMs.
	changeTimeout = 2 * time.Second
	// knownTime is how long the VMs have known what the copy lacks when the store goes away.
	knownTime = changeTimeout + 500*time.Millisecond
	// changeDelay is how long after the store's return the changes that follow are made: the
	// loss must have been noticed by then.
	changeDelay = 1500 * time.Millisecond
	// maxRewriteDelay is the longest time until the operator and the servers write again what
	// the store has lost.
	maxRewriteDelay = 2 * time.Second
)

// CopyPlan returns a plan of a store that comes back from copies, beside restarts and cuts of
// VMs, revoked keys, other changes, crashes, poisoned requests and servers of two versions.
func CopyPlan(size Size, seed uint64, length time.Duration) Plan {
	size.Versions, size.ReturningCallers = []string{"v1", "v2"}, returningCallers
	others := []string{"VM killed", "VM cut from the store", "VM stopped as planned", "VMs all killed", "keys and priority change", "routes change", "server crashes and is back under its id", "load"}
	disruptions := append(slices.Repeat([]Disruption{copyDisruption}, len(others)), poisonDisruption, versionDisruption)
	return Plan{Size: size, Seed: seed, Disruptions: append(disruptions, disruptionsNamed(others)...), Length: length}
}

var copyDisruption = Disruption{Name: "store comes back from a copy", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	key, leaves := fmt.Sprintf("lost%d", rng.Uint32()), s.Servers[rng.IntN(len(s.Servers))]
	s.Configure(func(c *Configuration) { c.Keys = append(slices.Clone(c.Keys), key) })
	time.Sleep(knownTime)
	from := s.Store.Copy()
	s.Configure(func(c *Configuration) {
		c.Keys = slices.DeleteFunc(slices.Clone(c.Keys), func(k string) bool { return k == key })
	})
	s.leave(leaves)
	revoked := time.Now()
	time.Sleep(knownTime)
	lost := s.Store.LostSince(from)
	s.Store.SetFault([]nursery.StoreFault{nursery.StoreBusy, nursery.StoreSilent, nursery.StoreHealthy}[rng.IntN(3)])
	time.Sleep(duration)
	s.Store.ComeBack(from)
	s.Store.SetFault(nursery.StoreHealthy)
	again := time.AfterFunc(time.Duration(rng.Int64N(int64(maxRewriteDelay))), func() { s.Store.WriteAgain(lost) })
	defer again.Stop()
	returned := time.Now()
	for time.Since(returned) < changeDelay {
		s.probe(probe{what: "a revoked key", since: revoked, path: "/any/", key: key, allowed: []int{http.StatusUnauthorized}})
		time.Sleep(changeDelay / 5)
	}
	s.changeAfterReturn(rng, leaves)
}}

// changeAfterReturn adds a route and lets a server leave after the store came back, and shows
// which VMs know. The server before left before; it starts again.
func (s *Site) changeAfterReturn(rng *rand.Rand, before *nursery.Server) {
	route := fmt.Sprintf("/copy%d/", rng.Uint32())
	s.Configure(func(c *Configuration) { c.Extra = append(slices.Clone(c.Extra), route) })
	leaves := s.Servers[rng.IntN(len(s.Servers))]
	s.leave(leaves)
	changed := time.Now()
	time.Sleep(changeTimeout)
	if s.hasRoute(route) {
		s.probe(probe{what: "an added route", since: changed, path: route, key: "k0", allowed: []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout}})
	}
	time.Sleep(contactTime - changeTimeout)
	for _, server := range []*nursery.Server{before, leaves} {
		server.Crash()
		_ = server.Restart()
	}
}

// leaver is a start of a server that has left.
type leaver struct {
	server      string
	startMillis int64
	since       time.Time // when the store accepted that it leaves
}

// leave lets a server leave, which must get nothing from changeTimeout on.
func (s *Site) leave(server *nursery.Server) {
	server.Drain()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavers = append(s.leavers, leaver{server.ID(), server.StartMillis(), time.Now()})
}

// hasRoute reports whether a route that was added is still configured.
func (s *Site) hasRoute(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.configuration.Extra, path)
}

// probeIDPrefix begins the ids of probes.
const probeIDPrefix = "probe"

// probe is a request that shows whether a VM knows a change.
type probe struct {
	what    string
	since   time.Time // when the store accepted the change
	path    string
	key     string
	allowed []int // statuses of a VM that knows the change

	vm     string
	at     time.Time
	status int // 0: no answer
}

// probe sends a request to each VM.
func (s *Site) probe(p probe) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, vm := range s.VMs {
		call := Call{ID: fmt.Sprintf("%s%06d", probeIDPrefix, s.callers.nextID.Add(1)), VM: vm.Name}
		call.Path = p.path + call.ID
		s.callers.send(client, vm, &call, p.key)
		p.vm, p.at, p.status = vm.Name, call.Sent, call.Status
		s.mu.Lock()
		s.probes = append(s.probes, p)
		s.mu.Unlock()
	}
}

// copyViolations describes the probes that show that a VM does not know a change, and the
// requests that reached servers that had left, unless VMs were disturbed meanwhile.
func (s *Site) copyViolations(arrivals []nursery.Run, timeline []Span) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var violations []string
	for _, p := range s.probes {
		if p.status != 0 && !slices.Contains(p.allowed, p.status) && !disturbedBetween(timeline, p.since.Add(-contactTime), p.at) {
			violations = append(violations, fmt.Sprintf("%s answered %d %v after %s was accepted", p.vm, p.status, p.at.Sub(p.since), p.what))
		}
	}
	for _, l := range s.leavers {
		for _, a := range arrivals {
			late := a.Server == l.server && a.StartMillis == l.startMillis && a.At.Sub(l.since) > changeTimeout
			if late && !disturbedBetween(timeline, l.since.Add(-contactTime), a.At) {
				violations = append(violations, fmt.Sprintf("%s reached server %s %v after it had said that it leaves", a.Request, l.server, a.At.Sub(l.since)))
			}
		}
	}
	return violations
}

// disturbedBetween reports whether a VM was restarted, paused or cut from the store in a time.
func disturbedBetween(timeline []Span, from, to time.Time) bool {
	return stoppedBetween(timeline, from, to) || slices.ContainsFunc(timeline, func(s Span) bool {
		return s.Name == "VM cut from the store" && s.From.Before(to) && s.To.After(from)
	})
}
