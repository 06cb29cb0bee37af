package exchange

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/site"
)

// memorySite is a VM and servers whose memory is accounted, in virtual time.
type memorySite struct {
	*modelVM
	engines *modelBackend
	ids     []string

	mu   sync.Mutex
	held map[string]int // tokens that the runs on an engine need until their ends
	peak map[string]int
	over int // runs that began at an engine without room
}

const (
	memorySiteTokens = 20_000 // of a server's memory: room for two streams
	memorySitePrompt = 8000
	memorySiteEvents = 130
)

func newMemorySite(t *testing.T, servers int) *memorySite {
	ids := modelServers(servers)
	s := &memorySite{engines: newModelBackend(t.Context(), ids, evenSpeed), ids: ids, held: map[string]int{}, peak: map[string]int{}}
	s.modelVM = newModelVM(s.engines, ids)
	s.opts.Services = func(string) (site.Service, bool) {
		return site.Service{Name: "s", Memory: memorySiteTokens, EventTokens: modelEvent}, true
	}
	s.engines.arrived = func(e *modelEngine, r *modelRun) {
		for id, engine := range s.engines.engines {
			if engine == e {
				s.count(id, memorySitePrompt+memorySiteEvents*modelEvent)
				context := r.ctx
				go func() {
					<-context.Done()
					s.count(id, -memorySitePrompt-memorySiteEvents*modelEvent)
				}()
			}
		}
	}
	return s
}

func (s *memorySite) count(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[id] += tokens
	if tokens > 0 && s.held[id] > memorySiteTokens {
		s.over++
	}
	s.peak[id] = max(s.peak[id], s.held[id])
}

// highest returns the most tokens that the runs on an engine needed at a time.
func (s *memorySite) highest(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak[id]
}

// exceeded returns how many runs began at an engine without room.
func (s *memorySite) exceeded() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// memoryRequest returns a request of a route among two that compete.
func memoryRequest(name string, priority int) *Request {
	r := modelRequest(name)
	r.Prompt, r.PromptTokens, r.LengthHint = nil, memorySitePrompt, memorySiteEvents*modelEvent
	r.Urgency = site.Urgency{Route: priority}
	r.Competition = &site.Competition{Classes: []site.Class{{Urgency: site.Urgency{Route: 0}}, {Urgency: site.Urgency{Route: 1}}}}
	return r
}

// burst sends streams within a time and returns their errors once all have ended.
func (s *memorySite) burst(t *testing.T, name string, streams int, within time.Duration) []error {
	chance := rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))
	arrivals := make([]time.Duration, streams)
	for i := range arrivals {
		arrivals[i] = time.Duration(chance.Float64() * float64(within))
	}
	errs := make([]error, streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			time.Sleep(arrivals[i])
			_, errs[i] = s.Stream(t.Context(), memoryRequest(fmt.Sprint(name, i), 0), &recordingSink{start: time.Now()})
		})
	}
	callers.Wait()
	return errs
}

// Four times as many streams as fit into the servers' memory come within a second. Guards
// against servers that are sent more than they hold: they would interrupt streams and read
// their prompts again. The others are refused, and have not run.
func TestBurstDoesNotExceedTheServersMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newMemorySite(t, 6)
		served := 0
		for i, err := range s.burst(t, "s", 48, time.Second) {
			if err == nil {
				served++
				continue
			}
			var failure *Failure
			g.Expect(err).To(gomega.BeAssignableToTypeOf(failure), "stream %d", i)
			failure = err.(*Failure)
			g.Expect(failure.Ran).To(gomega.BeFalse(), "stream %d: %v", i, err)
			g.Expect(failure.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
		for _, id := range s.ids {
			g.Expect(s.highest(id)).To(gomega.BeNumerically("<=", memorySiteTokens), "server %s", id)
		}
		g.Expect(served).To(gomega.Equal(2*len(s.ids)), "all memory is used")
	})
}

// As many streams come as fit, again and again, while servers crash and start again. Guards
// against memory that stays counted for streams that have ended, callers that left or starts
// that are gone: streams would be held back although there is room.
func TestStreamsAreNotHeldBackWhileThereIsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newMemorySite(t, 6)
		for round := range 4 {
			for i, err := range s.burst(t, fmt.Sprint("round", round, "-"), 2*len(s.ids), time.Second) {
				g.Expect(err).NotTo(gomega.HaveOccurred(), "round %d, stream %d", round, i)
			}
			go func() { // streams that are lost with their servers
				time.Sleep(3 * time.Second)
				s.engines.forZone("a", (*modelEngine).crash)
			}()
			_ = s.burst(t, fmt.Sprint("lost", round, "-"), len(s.ids), time.Second)
			s.engines.forZone("a", (*modelEngine).revive)
			s.readList(s.engines, s.ids)
			time.Sleep(10 * time.Second)
		}
	})
}

// reportMemory reports what one VM uses of the servers' memory to another, as often as VMs do.
func reportMemory(ctx context.Context, from, to *modelVM, name string) {
	for retry.Wait(ctx, 20*time.Millisecond) == nil {
		to.dir.SetPeerMemory(name, directory.MemoryReport{Last: math.MaxUint32, Uses: from.dir.OwnMemory()})
	}
}

// Eight VMs share the servers, and three times as many streams come as fit, for eight seconds.
// Guards against VMs that together send a server more than it holds: all of them have streams
// that wait, and would choose the same server when a stream there ends.
func TestVMsTakeFreeMemoryInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const count, streams = 8, 60
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newMemorySite(t, 24)
		vms := []*memorySite{s}
		for range count - 1 {
			vm := &memorySite{modelVM: newModelVM(s.engines, s.ids)}
			vm.opts.Services = s.opts.Services
			vms = append(vms, vm)
		}
		for i, from := range vms {
			from.dir.SetPartition(i, count)
			for _, to := range vms {
				if from != to {
					go reportMemory(ctx, from.modelVM, to.modelVM, fmt.Sprint(i))
				}
			}
		}
		var bursts sync.WaitGroup
		var served atomic.Int64
		for i, vm := range vms {
			bursts.Go(func() {
				for _, err := range vm.burst(t, fmt.Sprint("vm", i, "-"), streams, 8*time.Second) {
					if err == nil {
						served.Add(1)
					}
				}
			})
		}
		bursts.Wait()
		t.Logf("%d streams served, %d sent to a server without room", served.Load(), s.exceeded())
		g.Expect(s.exceeded()).To(gomega.BeNumerically("<=", served.Load()/20))
		g.Expect(served.Load()).To(gomega.BeNumerically(">=", 2*2*len(s.ids)-4), "the memory is used twice in that time")
	})
}
