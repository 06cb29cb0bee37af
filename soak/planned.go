package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// change is one kind of change of the configuration.
type change struct {
	name  string
	apply func(*Configuration, *rand.Rand)
}

var changes = []change{
	{"routes change", func(c *Configuration, rng *rand.Rand) {
		c.Extra = append(c.Extra[:len(c.Extra)/2:len(c.Extra)/2], fmt.Sprintf("/extra%d/", rng.Uint32()))
	}},
	{"weights change", func(c *Configuration, rng *rand.Rand) { c.Weights = [2]int{1 + rng.IntN(9), rng.IntN(9)} }},
	{"time-outs change", func(c *Configuration, rng *rand.Rand) {
		c.StreamTimeout = leastStreamTimeout + time.Duration(rng.IntN(3))*time.Second
		c.PlainTimeout = leastPlainTimeout + time.Duration(rng.IntN(3))*time.Second/2
	}},
	{"keys and priority change", func(c *Configuration, rng *rand.Rand) {
		c.Keys, c.Priority = []string{"k0", fmt.Sprintf("k%d", 1+rng.IntN(9))}, rng.IntN(4)
	}},
	{"limits change", func(c *Configuration, rng *rand.Rand) {
		c.BodyBytes, c.Connections = 10000+rng.IntN(1000000), 100+rng.IntN(300)
	}},
	{"idle limit changes", changeIdleTime},
}

// laterTroubles came after firstTroubles: planned work of each kind, load, and
// VMs that get little processor time.
var laterTroubles = append(changesAsTroubles(), []Trouble{
	{Name: "changes in quick succession", Kind: Planned, turn: ofNone, do: func(s *Site, rng *rand.Rand, hold time.Duration) {
		for end := time.Now().Add(hold); time.Now().Before(end); time.Sleep(quickChange) {
			c := changes[rng.IntN(len(changes))]
			s.Configure(func(to *Configuration) { c.apply(to, rng) })
		}
	}},
	{Name: "load", Kind: Planned, turn: ofNone, do: func(s *Site, _ *rand.Rand, hold time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), hold)
		defer cancel()
		s.callers.busy(ctx, loadFactor*callersOfAVM*s.size.VMs)
	}},
	{Name: "engines read long prompts in little memory", Kind: Planned, turn: ofNone, do: func(s *Site, _ *rand.Rand, hold time.Duration) {
		s.bound(busyEngine)
		time.Sleep(hold)
		s.bound(s.size.Engine)
	}},
	{Name: "server leaves and is replaced", Kind: Planned, do: func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.replace(s.Servers[rng.IntN(len(s.Servers))])
	}},
	{Name: "half of the engines leave and are replaced", Kind: Planned, do: func(s *Site, _ *rand.Rand, _ time.Duration) {
		s.replace(s.Servers[:s.size.Models/2]...)
	}},
	{Name: "VMs all stopped in turn as planned", Kind: Planned, turn: ofVMs, do: func(s *Site, _ *rand.Rand, _ time.Duration) {
		var wg sync.WaitGroup
		for _, vm := range s.VMs {
			wg.Go(func() {
				vm.terminate()
				_ = vm.start()
			})
			time.Sleep(stopGap)
		}
		wg.Wait()
	}},
	{Name: "VMs get little processor time while the idle limit changes", Kind: Starving, turn: ofVMs, do: starve},
}...)

func changesAsTroubles() []Trouble {
	var troubles []Trouble
	for _, c := range changes {
		troubles = append(troubles, Trouble{Name: c.name, Kind: Planned, turn: ofNone, do: func(s *Site, rng *rand.Rand, _ time.Duration) {
			s.Configure(func(to *Configuration) { c.apply(to, rng) })
		}})
	}
	return troubles
}

// PlannedWork returns the troubles in which nothing fails.
func PlannedWork() []Trouble { return ofKind(Planned) }

// StarvingWork returns what gives VMs little processor time, beside changes of the idle limit.
func StarvingWork() []Trouble { return ofKind(Starving) }

func ofKind(kind Kind) []Trouble {
	return slices.DeleteFunc(slices.Clone(Troubles), func(t Trouble) bool { return t.Kind != kind })
}

const (
	quickChange = 60 * time.Millisecond
	loadFactor  = 2 // times the callers that there are anyway
	stopGap     = 400 * time.Millisecond

	// A leaving server ends when it has nothing to do, and some time after it has
	// said that it leaves; one that goes on for longer stays.
	leaveAtLeast = leaveWithin + 500*time.Millisecond
	leaveAtMost  = 12 * time.Second
	leaveLook    = 20 * time.Millisecond

	// Standstills of a VM that gets little processor time. One that is longer
	// than half a second would be told apart as a freeze.
	pulses        = 5
	shortestPulse = 200 * time.Millisecond
	longestPulse  = 450 * time.Millisecond
	longestBreak  = 250 * time.Millisecond
)

// busyEngine has memory for three streams or copies, and pauses its streams for a
// prompt as long as an engine does that reads 700 to 5,000 tokens a second.
var busyEngine = nursery.EngineLimits{MinPrefill: 200 * time.Millisecond, MaxPrefill: 1500 * time.Millisecond, Memory: 3700}

// idleTimes are the idle limits that operators set.
var idleTimes = []time.Duration{time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second}

func changeIdleTime(c *Configuration, rng *rand.Rand) {
	c.IdleTime = idleTimes[rng.IntN(len(idleTimes))]
}

// replace lets servers leave, ends them when they have nothing to do, and starts
// others at their addresses.
func (s *Site) replace(servers ...*nursery.Server) {
	left := time.Now()
	for _, server := range servers {
		server.Drain()
	}
	time.Sleep(leaveAtLeast)
	for _, server := range servers {
		for server.Busy() > 0 && time.Since(left) < leaveAtMost {
			time.Sleep(leaveLook)
		}
		if server.Busy() > 0 {
			server.CancelDrain()
			continue
		}
		server.Crash()
		_ = server.Restart()
	}
}

// starve lets VMs run for moments only, while the idle limit is shortened and
// lengthened.
func starve(s *Site, rng *rand.Rand, _ time.Duration) {
	var wg sync.WaitGroup
	for _, vm := range s.VMs {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		wg.Go(func() { vm.pulse(own) })
	}
	for n := range pulses {
		s.Configure(func(c *Configuration) {
			changeIdleTime(c, rng)
			if n%2 == 1 {
				c.IdleTime = idleTimes[0]
			}
		})
		time.Sleep(longestPulse)
	}
	wg.Wait()
}

// pulse stops and resumes a VM several times.
func (vm *VM) pulse(rng *rand.Rand) {
	for range pulses {
		vm.paused.Store(true)
		vm.signal(syscall.SIGSTOP)
		time.Sleep(shortestPulse + time.Duration(rng.Int64N(int64(longestPulse-shortestPulse))))
		vm.resume()
		time.Sleep(time.Duration(rng.Int64N(int64(longestBreak))))
	}
}
