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

// Trouble is one fault with its end; do returns when the fault is over.
type Trouble struct {
	Name string
	do   func(s *Site, rng *rand.Rand, hold time.Duration)
}

// Troubles are all that the soak knows. They may overlap; those of one VM or
// server take turns by the order in which the run starts them. New ones go to
// the end: seeds that failed once are played with those that there were then.
var Troubles = []Trouble{
	{"server crash", func(s *Site, rng *rand.Rand, hold time.Duration) {
		server := s.Servers[rng.IntN(len(s.Servers))]
		server.Crash()
		time.Sleep(hold)
		_ = server.Restart()
	}},
	{"server silent", func(s *Site, rng *rand.Rand, hold time.Duration) { s.proxied(rng, Silence, hold) }},
	{"server one way", func(s *Site, rng *rand.Rand, hold time.Duration) { s.proxied(rng, OneWay, hold) }},
	{"server delayed", func(s *Site, rng *rand.Rand, hold time.Duration) { s.proxied(rng, Delay, hold) }},
	{"server connections reset", func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.proxies[s.Servers[rng.IntN(len(s.Servers))]].Reset()
	}},
	{"answers lost", func(s *Site, rng *rand.Rand, hold time.Duration) {
		server := s.Servers[s.size.Models+rng.IntN(s.size.Apps)]
		server.LostAnswers.Store(200)
		time.Sleep(hold)
		server.LostAnswers.Store(0)
	}},
	{"store busy", func(s *Site, _ *rand.Rand, hold time.Duration) { s.stored(nursery.StoreBusy, hold) }},
	{"store silent", func(s *Site, _ *rand.Rand, hold time.Duration) { s.stored(nursery.StoreSilent, hold) }},
	{"store slow", func(s *Site, _ *rand.Rand, hold time.Duration) { s.stored(nursery.StoreSlow, hold) }},
	{"history dropped", func(s *Site, _ *rand.Rand, _ time.Duration) { s.Store.DropHistory() }},
	{"VM cut from the store", func(s *Site, rng *rand.Rand, hold time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.store.Set([]Mode{Silence, Refuse, OneWay}[rng.IntN(3)])
		time.Sleep(hold)
		vm.store.Set(Pass)
	}},
	{"VM killed", func(s *Site, rng *rand.Rand, hold time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.kill()
		time.Sleep(hold / 2)
		_ = vm.start()
	}},
	{"VM paused", func(s *Site, rng *rand.Rand, hold time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.paused.Store(true)
		vm.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		vm.resume()
	}},
	{"VM stopped as planned", func(s *Site, rng *rand.Rand, _ time.Duration) {
		vm := s.VMs[rng.IntN(len(s.VMs))]
		vm.terminate()
		_ = vm.start()
	}},
	{"SIGHUP", func(s *Site, rng *rand.Rand, _ time.Duration) { s.VMs[rng.IntN(len(s.VMs))].signal(syscall.SIGHUP) }},
	{"route added", func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.Configure(func(keys, extra []string) ([]string, []string) {
			return keys, append(extra, fmt.Sprintf("/extra%d/", rng.Uint32()))
		})
	}},
	{"zone of servers crash", func(s *Site, rng *rand.Rand, hold time.Duration) {
		s.zoneCrashes(rng, hold, (*nursery.Server).Restart)
	}},
	{"VMs all killed", func(s *Site, _ *rand.Rand, hold time.Duration) {
		for _, vm := range s.VMs {
			vm.kill()
		}
		time.Sleep(hold / 2)
		for _, vm := range s.VMs {
			_ = vm.start()
		}
	}},
	{"server crashes and is back under its id", func(s *Site, rng *rand.Rand, hold time.Duration) {
		server := s.Servers[rng.IntN(len(s.Servers))]
		for range flaps {
			server.Crash()
			time.Sleep(hold / (2 * flaps))
			_ = server.RestartUnderItsID()
			time.Sleep(hold / (2 * flaps))
		}
	}},
	{"zone of servers crash and are back under their ids", func(s *Site, rng *rand.Rand, hold time.Duration) {
		s.zoneCrashes(rng, hold, (*nursery.Server).RestartUnderItsID)
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
	s.Store.SetFault(nursery.StoreWell)
}
