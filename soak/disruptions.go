package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// resume continues a paused process.
func (vm *VM) resume() {
	vm.paused.Store(false)
	vm.signal(syscall.SIGCONT)
	vm.disturbed.end()
}

// Kind classifies disruptions by the failures that they excuse.
type Kind int

// Kinds of disruption.
const (
	Fault         Kind = iota // of a server, a link or a VM: excuses lost requests
	Planned                   // work of operators, or load: excuses nothing
	CPUStarvation             // VMs get little CPU time: excuses nothing, since no connection is disturbed
)

// exclusionGroup determines which disruptions exclude each other: of a group other than
// noGroup, one disruption runs at a time.
type exclusionGroup int

const (
	defaultGroup exclusionGroup = iota // unless another group is set
	vmGroup                            // a process must not get a signal while another disruption replaces it
	noGroup                            // runs beside any other; the last value, as run.go has a lock for each before it
)

// Disruption is a fault, planned work, load or CPU starvation. run begins it and returns
// when it is over. Those that take a time of their own ignore duration.
type Disruption struct {
	Name  string
	Kind  Kind
	group exclusionGroup
	run   func(s *Site, rng *rand.Rand, duration time.Duration)
}

// Disruptions has every disruption in the order in which they were added to the soak, so
// that a seed that failed can be repeated with those that existed at the time. New ones
// must be appended at the end.
var Disruptions = append(initialDisruptions, addedDisruptions...)

var initialDisruptions = []Disruption{
	{Name: "server crash", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		server := s.Servers[rng.IntN(len(s.Servers))]
		server.Crash()
		time.Sleep(duration)
		_ = server.Restart()
	}},
	{Name: "server silent", run: func(s *Site, rng *rand.Rand, duration time.Duration) { s.disturbProxy(rng, Silence, duration) }},
	{Name: "server one way", run: func(s *Site, rng *rand.Rand, duration time.Duration) { s.disturbProxy(rng, OneWay, duration) }},
	{Name: "server delayed", run: func(s *Site, rng *rand.Rand, duration time.Duration) { s.disturbProxy(rng, Delay, duration) }},
	{Name: "server connections reset", run: func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.proxies[s.Servers[rng.IntN(len(s.Servers))]].Reset()
	}},
	{Name: "answers lost", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		server := s.Servers[s.size.ModelServers+rng.IntN(s.size.PlainServers)]
		server.LostAnswersPerMille.Store(200)
		time.Sleep(duration)
		server.LostAnswersPerMille.Store(0)
	}},
	{Name: "store busy", run: func(s *Site, _ *rand.Rand, duration time.Duration) { s.disturbStore(nursery.StoreBusy, duration) }},
	{Name: "store silent", run: func(s *Site, _ *rand.Rand, duration time.Duration) { s.disturbStore(nursery.StoreSilent, duration) }},
	{Name: "store slow", run: func(s *Site, _ *rand.Rand, duration time.Duration) { s.disturbStore(nursery.StoreSlow, duration) }},
	{Name: "history dropped", run: func(s *Site, _ *rand.Rand, _ time.Duration) { s.Store.DropHistory() }},
	{Name: "VM cut from the store", group: vmGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.storeProxy.Set([]Mode{Silence, Refuse, OneWay}[rng.IntN(3)])
		time.Sleep(duration)
		vm.storeProxy.Set(Pass)
	}},
	{Name: "VM killed", group: vmGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.kill()
		time.Sleep(duration / 2)
		_ = vm.start()
	}},
	{Name: "VM paused", group: vmGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.paused.Store(true)
		vm.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		vm.resume()
	}},
	{Name: "VM stopped as planned", Kind: Planned, group: vmGroup, run: func(s *Site, rng *rand.Rand, _ time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.terminate()
		_ = vm.start()
	}},
	{Name: "SIGHUP", Kind: Planned, group: vmGroup, run: func(s *Site, rng *rand.Rand, _ time.Duration) { s.VMs[rng.IntN(len(s.VMs))].signal(syscall.SIGHUP) }},
	{Name: "route added", Kind: Planned, run: func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.Configure(func(c *Configuration) { c.Extra = append(c.Extra, fmt.Sprintf("/extra%d/", rng.Uint32())) })
	}},
	{Name: "zone of servers crash", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		s.crashZone(rng, duration, (*nursery.Server).Restart)
	}},
	{Name: "VMs all killed", group: vmGroup, run: func(s *Site, _ *rand.Rand, duration time.Duration) {
		for _, vm := range s.VMs {
			vm.kill()
		}
		time.Sleep(duration / 2)
		for _, vm := range s.VMs {
			_ = vm.start()
		}
	}},
	{Name: "server crashes and is back under its id", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		server := s.Servers[rng.IntN(len(s.Servers))]
		for range flaps {
			server.Crash()
			time.Sleep(duration / (2 * flaps))
			_ = server.RestartWithSameID()
			time.Sleep(duration / (2 * flaps))
		}
	}},
	{Name: "zone of servers crash and are back under their ids", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		s.crashZone(rng, duration, (*nursery.Server).RestartWithSameID)
	}},
}

// flaps is how many times in a row the disruption "server crashes and is back under its
// id" crashes a server.
const flaps = 3

// crashZone crashes all servers of a random zone and restarts them after duration.
func (s *Site) crashZone(rng *rand.Rand, duration time.Duration, restart func(*nursery.Server) error) {
	zone := zones[rng.IntN(len(zones))]
	var lost []*nursery.Server
	for _, server := range s.Servers {
		if server.Zone == zone {
			server.Crash()
			lost = append(lost, server)
		}
	}
	time.Sleep(duration)
	for _, server := range lost {
		_ = restart(server)
	}
}

// disturbProxy sets the mode of the proxy in front of a random server for duration.
func (s *Site) disturbProxy(rng *rand.Rand, m Mode, duration time.Duration) {
	proxy := s.proxies[s.Servers[rng.IntN(len(s.Servers))]]
	proxy.Set(m)
	time.Sleep(duration)
	proxy.Set(Pass)
}

// disturbStore gives the store a fault for duration.
func (s *Site) disturbStore(f nursery.StoreFault, duration time.Duration) {
	s.Store.SetFault(f)
	time.Sleep(duration)
	s.Store.SetFault(nursery.StoreHealthy)
}
