package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// subsetSize is how many backend servers of a service one router uses. Today's
// services are smaller and are used whole; docs/CAPACITY.md lists the sizes at which
// the subset matters.
const subsetSize = 160

// fleet holds the candidates of each service. Requests read immutable snapshots only.
type fleet struct {
	self       types.ProcessID
	policyName string
	recorder   *event.Recorder
	registerer prometheus.Registerer

	mu       sync.Mutex // serializes rebuild
	services atomic.Pointer[map[string]*serviceFleet]
	leaving  sync.Map // backend server's name -> types.Incarnation, see markLeaving
}

// serviceFleet is the part of a fleet that serves one service. view and members are
// replaced as a whole; policy and budget live as long as the service.
type serviceFleet struct {
	name    string
	policy  route.Policy
	budget  *retry.Budget
	view    atomic.Pointer[route.View]
	targets atomic.Pointer[[]target]

	recorder   *event.Recorder
	registerer prometheus.Registerer
	circuits   sync.Map // types.ProcessID of a candidate -> *retry.Circuit
	capacities sync.Map // backend server's name -> int, as reported by its engine
}

// target is a backend server of the configuration with the state of its member.
type target struct {
	name        string
	address     string
	zone        types.Zone
	process     types.ProcessID
	incarnation types.Incarnation // 0: unknown to membership
	state       membership.State
}

func newFleet(self types.ProcessID, policy string, recorder *event.Recorder, reg prometheus.Registerer) *fleet {
	f := &fleet{self: self, policyName: policy, recorder: recorder, registerer: reg}
	f.services.Store(&map[string]*serviceFleet{})
	return f
}

func (f *fleet) service(name string) *serviceFleet { return (*f.services.Load())[name] }

// rebuild combines the configuration with the members and replaces the snapshots.
func (f *fleet) rebuild(conf *text.Config, members *membership.View, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *f.services.Load()
	next := make(map[string]*serviceFleet, len(conf.Services))
	for i := range conf.Services {
		s := &conf.Services[i]
		service := old[s.Name]
		if service == nil {
			created, err := f.newService(s)
			if err != nil {
				return err
			}
			service = created
		}
		f.replaceView(service, s, members, now)
		next[s.Name] = service
	}
	f.services.Store(&next)
	return nil
}

func (f *fleet) newService(s *text.Service) (*serviceFleet, error) {
	policy, err := route.NewPolicy(f.policyName, route.Options{Service: s.Name, Registerer: f.registerer, Recorder: f.recorder})
	if err != nil {
		return nil, err
	}
	budget := retry.NewBudget(retry.BudgetOptions{Service: s.Name, Ratio: s.RetryBudget, Registerer: f.registerer, Recorder: f.recorder})
	return &serviceFleet{name: s.Name, policy: policy, budget: budget, recorder: f.recorder, registerer: f.registerer}, nil
}

func (f *fleet) replaceView(sf *serviceFleet, s *text.Service, members *membership.View, now time.Time) {
	targets := make([]target, 0, len(s.BackendServers))
	candidates := make([]route.Candidate, 0, len(s.BackendServers))
	for i := range s.BackendServers {
		b := &s.BackendServers[i]
		t := f.newTarget(b, members)
		targets = append(targets, t)
		if t.state == membership.StateAlive {
			candidates = append(candidates, newCandidate(t, sf.capacityOf(b)))
		}
	}
	if len(candidates) == 0 {
		candidates = suspectedCandidates(targets)
	}
	if len(candidates) > subsetSize {
		candidates = route.Subset(f.self, candidates, subsetSize)
	}
	view := route.NewView(sf.view.Load(), candidates, now)
	sf.view.Store(view)
	sf.targets.Store(&targets)
}

// suspectedCandidates returns the targets that are suspected to be dead. A router
// that suspects all of them has more likely been disconnected itself.
func suspectedCandidates(targets []target) []route.Candidate {
	var out []route.Candidate
	for _, t := range targets {
		if t.state == membership.StateSuspect {
			out = append(out, newCandidate(t, 0))
		}
	}
	return out
}

func newCandidate(t target, capacity int) route.Candidate {
	return route.Candidate{ID: types.ProcessID(t.name), Address: t.address, Zone: t.zone, Incarnation: t.incarnation, Capacity: capacity}
}

// newTarget returns the target of a configured backend server. One that membership
// doesn't know counts as alive: an attempt costs little, and a router that has just
// started must be able to serve.
func (f *fleet) newTarget(b *text.BackendServer, members *membership.View) target {
	t := target{name: b.Name, address: b.Sidecar, zone: types.Zone(b.Zone), state: membership.StateAlive}
	if members == nil {
		return t
	}
	m, ok := members.ByAddress(b.Sidecar)
	if !ok {
		return t
	}
	t.process, t.incarnation, t.state = m.ID, m.Incarnation, m.State
	if left, ok := f.leaving.Load(b.Name); ok && left == m.Incarnation {
		t.state = membership.StateLeaving
	}
	return t
}

// markLeaving keeps new requests away from a backend server that has reported that
// it is leaving, before membership spreads it. It applies to that incarnation only.
func (f *fleet) markLeaving(name string, incarnation types.Incarnation) {
	if incarnation != 0 {
		f.leaving.Store(name, incarnation)
	}
}

// recordLeaving handles a backend server's own report that it is leaving.
func (r *Router) recordLeaving(sf *serviceFleet, c *route.Candidate) {
	r.fleet.markLeaving(string(c.ID), c.Incarnation)
	if t, ok := sf.find(string(c.ID)); ok && t.process != "" && r.opts.MarkLeaving != nil {
		r.opts.MarkLeaving(t.process)
	}
}

// learnCapacity stores the capacity that an engine reports; the next view uses it.
func (sf *serviceFleet) learnCapacity(name string, capacity int) {
	if known, ok := sf.capacities.Load(name); capacity > 0 && (!ok || known != capacity) {
		sf.capacities.Store(name, capacity)
	}
}

// capacityOf returns the configured capacity, or else the one that the engine reported.
func (sf *serviceFleet) capacityOf(b *text.BackendServer) int {
	if b.Capacity > 0 {
		return b.Capacity
	}
	reported, _ := sf.capacities.Load(b.Name)
	capacity, _ := reported.(int)
	return capacity
}

// find returns the target of a backend server of the service.
func (sf *serviceFleet) find(name string) (target, bool) {
	for _, t := range *sf.targets.Load() {
		if t.name == name {
			return t, true
		}
	}
	return target{}, false
}
