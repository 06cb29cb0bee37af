package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// configurationChange is one kind of change of the configuration.
type configurationChange struct {
	name  string
	apply func(*Configuration, *rand.Rand)
}

var configurationChanges = []configurationChange{
	{"routes change", func(c *Configuration, rng *rand.Rand) {
		c.Extra = append(c.Extra[:len(c.Extra)/2:len(c.Extra)/2], fmt.Sprintf("/extra%d/", rng.Uint32()))
	}},
	{"weights change", func(c *Configuration, rng *rand.Rand) { c.Weights = [2]int{1 + rng.IntN(9), rng.IntN(9)} }},
	{"timeouts change", func(c *Configuration, rng *rand.Rand) {
		c.StreamTimeout = minStreamTimeout + time.Duration(rng.IntN(3))*time.Second
		c.PlainTimeout = minPlainTimeout + time.Duration(rng.IntN(3))*time.Second/2
	}},
	{"keys and priority change", func(c *Configuration, rng *rand.Rand) {
		c.Keys, c.Priority = []string{"k0", fmt.Sprintf("k%d", 1+rng.IntN(9))}, rng.IntN(4)
	}},
	{"limits change", func(c *Configuration, rng *rand.Rand) {
		c.BodyBytes, c.Connections = 10000+rng.IntN(1000000), 100+rng.IntN(300)
	}},
	{"idle timeout changes", changeIdleTimeout},
}

// addedDisruptions were added after initialDisruptions: more planned work, load, and CPU
// starvation of VMs.
var addedDisruptions = append(configurationDisruptions(), []Disruption{
	{Name: "changes in quick succession", Kind: Planned, group: noGroup, run: func(s *Site, rng *rand.Rand, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(quickChangeInterval) {
			c := configurationChanges[rng.IntN(len(configurationChanges))]
			s.Configure(func(to *Configuration) { c.apply(to, rng) })
		}
	}},
	{Name: "load", Kind: Planned, group: noGroup, run: func(s *Site, _ *rand.Rand, duration time.Duration) {
		s.callers.generateLoadFor(duration, loadFactor*callersPerVM*s.size.VMs)
	}},
	{Name: "engines read long prompts in little memory", Kind: Planned, group: noGroup, run: func(s *Site, _ *rand.Rand, duration time.Duration) {
		s.limitEngines(constrainedEngine)
		time.Sleep(duration)
		s.limitEngines(s.size.Engine)
	}},
	{Name: "server drains and is replaced", Kind: Planned, run: func(s *Site, rng *rand.Rand, _ time.Duration) {
		s.replaceServers(s.Servers[rng.IntN(len(s.Servers))])
	}},
	{Name: "half of the engines drain and are replaced", Kind: Planned, run: func(s *Site, _ *rand.Rand, _ time.Duration) {
		s.replaceServers(s.Servers[:s.size.ModelServers/2]...)
	}},
	{Name: "VMs all stopped in turn as planned", Kind: Planned, group: vmGroup, run: func(s *Site, _ *rand.Rand, _ time.Duration) {
		var wg sync.WaitGroup
		for _, vm := range s.VMs {
			wg.Go(func() {
				vm.terminate()
				_ = vm.start()
			})
			time.Sleep(stopInterval)
		}
		wg.Wait()
	}},
	{Name: "VMs get little CPU time while the idle timeout changes", Kind: CPUStarvation, group: vmGroup, run: starveCPU},
}...)

// configurationDisruptions returns a disruption for each of configurationChanges.
func configurationDisruptions() []Disruption {
	var disruptions []Disruption
	for _, c := range configurationChanges {
		disruptions = append(disruptions, Disruption{Name: c.name, Kind: Planned, group: noGroup, run: func(s *Site, rng *rand.Rand, _ time.Duration) {
			s.Configure(func(to *Configuration) { c.apply(to, rng) })
		}})
	}
	return disruptions
}

// PlannedDisruptions returns the disruptions that involve no fault.
func PlannedDisruptions() []Disruption { return disruptionsOfKind(Planned) }

// CPUStarvationDisruptions returns the disruptions that give VMs little CPU time while the
// idle timeout changes.
func CPUStarvationDisruptions() []Disruption { return disruptionsOfKind(CPUStarvation) }

func disruptionsOfKind(kind Kind) []Disruption {
	return slices.DeleteFunc(slices.Clone(Disruptions), func(d Disruption) bool { return d.Kind != kind })
}

const (
	quickChangeInterval = 60 * time.Millisecond  // between changes in quick succession
	loadFactor          = 2                      // additional load, as a multiple of the usual callers
	stopInterval        = 400 * time.Millisecond // between the stops of two VMs

	// A draining server ends once it is idle, but not before minDrainTime, when it must
	// no longer get new work. One that is still busy after maxDrainTime ends its drain and
	// stays.
	minDrainTime      = maxDrainDelay + 500*time.Millisecond
	maxDrainTime      = 12 * time.Second
	drainPollInterval = 20 * time.Millisecond

	// Pauses of a VM that gets little CPU time. They are shorter than half a second: after
	// a longer one a VM detects that it has stalled (stallThreshold of package inbound)
	// and applies no idle timeout.
	vmPauses   = 5
	minVMPause = 200 * time.Millisecond
	maxVMPause = 450 * time.Millisecond
	maxVMRun   = 250 * time.Millisecond // longest time between two pauses
)

// constrainedEngine has memory for three streams or KV copies: callers' requests take
// 1,000 tokens for the prompt and 200 for 40 events. It pauses its streams for a prompt as
// long as an engine that reads 700 to 5,000 tokens per second.
var constrainedEngine = nursery.EngineLimits{MinPrefill: 200 * time.Millisecond, MaxPrefill: 1500 * time.Millisecond, Memory: 3700}

// idleTimeouts are idle timeouts as operators set them, the shortest first. Configuration
// changes choose among them.
var idleTimeouts = []time.Duration{time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second}

func changeIdleTimeout(c *Configuration, rng *rand.Rand) {
	c.IdleTimeout = idleTimeouts[rng.IntN(len(idleTimeouts))]
}

// replaceServers drains servers, ends each once it is idle, and starts others at their
// addresses.
func (s *Site) replaceServers(servers ...*nursery.Server) {
	drainStart := time.Now()
	for _, server := range servers {
		server.Drain()
	}
	time.Sleep(minDrainTime)
	for _, server := range servers {
		for server.ActiveRequests() > 0 && time.Since(drainStart) < maxDrainTime {
			time.Sleep(drainPollInterval)
		}
		if server.ActiveRequests() > 0 {
			server.CancelDrain()
			continue
		}
		server.Crash()
		_ = server.Restart()
	}
}

// starveCPU pauses all VMs repeatedly, each at its own times, while the idle timeout is
// shortened and lengthened: every second change sets the shortest one.
func starveCPU(s *Site, rng *rand.Rand, _ time.Duration) {
	var wg sync.WaitGroup
	for _, vm := range s.VMs {
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		wg.Go(func() { vm.pauseRepeatedly(own) })
	}
	for n := range vmPauses {
		s.Configure(func(c *Configuration) {
			changeIdleTimeout(c, rng)
			if n%2 == 1 {
				c.IdleTimeout = idleTimeouts[0]
			}
		})
		time.Sleep(maxVMPause)
	}
	wg.Wait()
}

// pauseRepeatedly pauses and resumes a VM vmPauses times.
func (vm *VM) pauseRepeatedly(rng *rand.Rand) {
	for range vmPauses {
		vm.paused.Store(true)
		vm.signal(syscall.SIGSTOP)
		time.Sleep(minVMPause + time.Duration(rng.Int64N(int64(maxVMPause-minVMPause))))
		vm.resume()
		time.Sleep(time.Duration(rng.Int64N(int64(maxVMRun))))
	}
}
