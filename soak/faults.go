package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// resume lets a paused process go on.
func (vm *VM) resume() {
	vm.paused.Store(false)
	vm.signal(syscall.SIGCONT)
}

// Kind tells what a trouble excuses.
type Kind int

// Kinds of trouble.
const (
	Fault    Kind = iota // of a server, a link or a VM
	Planned              // work of the operators, or load: nothing fails
	Starving             // VMs get little processor time; callers' connections stay as they are
)

// turn tells which troubles wait for each other.
type turn int

const (
	ofOthers turn = iota
	ofVMs         // a process must not be signalled while another trouble replaces it
	ofNone        // it waits for no other
)

// Trouble is one fault, or planned work, with its end; do returns when it is over.
type Trouble struct {
	Name string
	Kind Kind
	turn turn
	do   func(s *Site, rng *rand.Rand, hold time.Duration)
}

// Troubles are all that the soak knows, in the order in which they came to be:
// seeds that failed once are played with those that there were then.
var Troubles = append(firstTroubles, laterTroubles...)

var firstTroubles = []Trouble{
	{Name: "server crash", do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		server := s.Servers[rng.IntN(len(s.Servers))]
		server.Crash()
		time.Sleep(hold)
		_ = server.Restart()
	}},
	{Name: "server silent", do: func(s *Site, rng *rand.Rand, hold time.Duration) { s.proxied(rng, Silence, hold) }},
	{Name: "server one way", do: func(s *Site, rng *rand.Rand, hold time.Duration) { s.proxied(rng, OneWay, hold) }},
	{Name: "server delayed", do: func(s *Site, rng *rand.Rand, hold time.Duration) { s.proxied(rng, Delay, hold) }},
	{Name: "server connections reset", do: func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.proxies[s.Servers[rng.IntN(len(s.Servers))]].Reset()
	}},
	{Name: "answers lost", do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		server := s.Servers[s.size.Models+rng.IntN(s.size.Apps)]
		server.LostAnswers.Store(200)
		time.Sleep(hold)
		server.LostAnswers.Store(0)
	}},
	{Name: "store busy", do: func(s *Site, _ *rand.Rand, hold time.Duration) { s.stored(nursery.StoreBusy, hold) }},
	{Name: "store silent", do: func(s *Site, _ *rand.Rand, hold time.Duration) { s.stored(nursery.StoreSilent, hold) }},
	{Name: "store slow", do: func(s *Site, _ *rand.Rand, hold time.Duration) { s.stored(nursery.StoreSlow, hold) }},
	{Name: "history dropped", do: func(s *Site, _ *rand.Rand, _ time.Duration) { s.Store.DropHistory() }},
	{Name: "VM cut from the store", turn: ofVMs, do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.store.Set([]Mode{Silence, Refuse, OneWay}[rng.IntN(3)])
		time.Sleep(hold)
		vm.store.Set(Pass)
	}},
	{Name: "VM killed", turn: ofVMs, do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.kill()
		time.Sleep(hold / 2)
		_ = vm.start()
	}},
	{Name: "VM paused", turn: ofVMs, do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.paused.Store(true)
		vm.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		vm.resume()
	}},
	{Name: "VM stopped as planned", Kind: Planned, turn: ofVMs, do: func(s *Site, rng *rand.Rand, _ time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.terminate()
		_ = vm.start()
	}},
	{Name: "SIGHUP", Kind: Planned, turn: ofVMs, do: func(s *Site, rng *rand.Rand, _ time.Duration) { s.VMs[rng.IntN(len(s.VMs))].signal(syscall.SIGHUP) }},
	{Name: "route added", Kind: Planned, do: func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.Configure(func(c *Configuration) { c.Extra = append(c.Extra, fmt.Sprintf("/extra%d/", rng.Uint32())) })
	}},
	{Name: "zone of servers crash", do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		s.zoneCrashes(rng, hold, (*nursery.Server).Restart)
	}},
	{Name: "VMs all killed", turn: ofVMs, do: func(s *Site, _ *rand.Rand, hold time.Duration) {
		for _, vm := range s.VMs {
			vm.kill()
		}
		time.Sleep(hold / 2)
		for _, vm := range s.VMs {
			_ = vm.start()
		}
	}},
	{Name: "server crashes and is back under its id", do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		server := s.Servers[rng.IntN(len(s.Servers))]
		for range flaps {
			server.Crash()
			time.Sleep(hold / (2 * flaps))
			_ = server.RestartWithSameID()
			time.Sleep(hold / (2 * flaps))
		}
	}},
	{Name: "zone of servers crash and are back under their ids", do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		s.zoneCrashes(rng, hold, (*nursery.Server).RestartWithSameID)
	}},
}

// flaps is how often a server crashes in a row.
const flaps = 3

func (s *Site) zoneCrashes(rng *rand.Rand, hold time.Duration, restart func(*nursery.Server) error) {
	zone := zones[rng.IntN(len(zones))]
	var lost []*nursery.Server
	for _, server := range s.Servers {
		if server.Zone == zone {
			server.Crash()
			lost = append(lost, server)
		}
	}
	time.Sleep(hold)
	for _, server := range lost {
		_ = restart(server)
	}
}

func (s *Site) proxied(rng *rand.Rand, m Mode, hold time.Duration) {
	proxy := s.proxies[s.Servers[rng.IntN(len(s.Servers))]]
	proxy.Set(m)
	time.Sleep(hold)
	proxy.Set(Pass)
}

func (s *Site) stored(f nursery.StoreFault, hold time.Duration) {
	s.Store.SetFault(f)
	time.Sleep(hold)
	s.Store.SetFault(nursery.StoreHealthy)
}
