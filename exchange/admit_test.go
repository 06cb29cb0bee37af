package exchange

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// threeClasses is a service's competition of three kinds of streams.
var threeClasses = &site.Competition{Classes: []site.Class{
	{Urgency: site.Urgency{Organisation: 5, Route: 0}, Objective: 4 * time.Second},
	{Urgency: site.Urgency{Organisation: 5, Route: 1}, Objective: 5 * time.Second},
	{Urgency: site.Urgency{Organisation: 5, Route: 2}, Objective: 10 * time.Second},
}}

// competing returns a change of a request into one of a class.
func competing(rank int) func(*Request) {
	return func(r *Request) {
		r.Competition, r.Urgency = threeClasses, threeClasses.Classes[rank].Urgency
		r.Route.Objective = threeClasses.Classes[rank].Objective
	}
}

// playAs is play with changed requests.
func (vm *modelVM) playAs(ctx context.Context, name string, arrivals []time.Duration, change func(*Request)) []received {
	outcomes := make([]received, len(arrivals))
	var callers sync.WaitGroup
	for i, at := range arrivals {
		callers.Go(func() {
			time.Sleep(at)
			sink := &recordingSink{start: time.Now()}
			r := modelRequest(fmt.Sprint(name, i))
			change(r)
			_, err := vm.Stream(ctx, r, sink)
			outcomes[i] = received{first: sink.first, pause: sink.longest, took: time.Since(sink.start), events: len(sink.ids), err: err}
		})
	}
	callers.Wait()
	return outcomes
}

// overloaded plays streams of each class at the given gaps for some seconds on ten servers
// whose speed is known, and returns what their callers got, by rank.
func overloaded(t *testing.T, length time.Duration, gaps [3]time.Duration) [3][]received {
	vm, engines := newWarmVM(t, 10)
	_ = engines
	var out [3][]received
	var classes sync.WaitGroup
	for rank, gap := range gaps {
		classes.Go(func() {
			out[rank] = vm.playAs(t.Context(), fmt.Sprint("class", rank, "-"), every(gap, int(length/gap)), competing(rank))
		})
	}
	classes.Wait()
	return out
}

// newWarmVM returns a VM that has measured its servers' speed.
func newWarmVM(t *testing.T, count int) (*modelVM, *modelBackend) {
	ids := modelServers(count)
	engines := newModelBackend(t.Context(), ids, evenSpeed)
	vm := newModelVM(engines, ids)
	vm.play(t, "warm", every(0, count))
	return vm, engines
}

// begun returns how many streams began within an objective, late, and not at all.
func begun(outcomes []received, objective time.Duration) (inTime, late, refused int) {
	for _, o := range outcomes {
		switch {
		case o.err != nil:
			refused++
		case o.first <= objective:
			inTime++
		default:
			late++
		}
	}
	return inTime, late, refused
}

// The least urgent class brings about three times what ten servers read, the others a third
// of it. Without admission the servers' queues grow until the streams of all classes are late.
func TestBurstOfTheLeastUrgentDelaysNoMoreUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := overloaded(t, 8*time.Second, [3]time.Duration{time.Second, time.Second, 33 * time.Millisecond})
		for rank, objective := range []time.Duration{4 * time.Second, 5 * time.Second} {
			inTime, late, refused := begun(out[rank], objective)
			g.Expect(inTime).To(gomega.Equal(len(out[rank])), "rank %d: %d late, %d refused", rank, late, refused)
		}
		inTime, late, refused := begun(out[2], 10*time.Second)
		t.Logf("least urgent: %d in time, %d late, %d refused", inTime, late, refused)
		g.Expect(inTime).To(gomega.BeNumerically(">=", 40), "what is left of the servers' time serves them")
	})
}

// The most urgent class alone brings twice what the servers read.
func TestLeastUrgentDoesNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := overloaded(t, 20*time.Second, [3]time.Duration{50 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond})
		for rank := range out {
			inTime, late, refused := begun(out[rank], threeClasses.Classes[rank].Objective)
			t.Logf("rank %d: %d in time, %d late, %d refused", rank, inTime, late, refused)
		}
		inTime, _, _ := begun(out[2], 10*time.Second)
		g.Expect(inTime).To(gomega.BeNumerically(">=", 4))
		inTime, late, _ := begun(out[0], 4*time.Second)
		g.Expect(inTime).To(gomega.BeNumerically(">=", 100))
		g.Expect(late).To(gomega.BeNumerically("<=", 20))
	})
}

// Callers are refused at once, truthfully, and come back spread over a time.
func TestRefusalsAreQuickAndSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := overloaded(t, 10*time.Second, [3]time.Duration{40 * time.Millisecond, time.Second, time.Second})
		var soonest, latest time.Duration
		refused := 0
		for _, o := range out[0] {
			var f *Failure
			if !errors.As(o.err, &f) {
				continue
			}
			refused++
			g.Expect(f.Ran).To(gomega.BeFalse())
			g.Expect(f.By).To(gomega.Equal(EndedByNoServer))
			g.Expect(o.took).To(gomega.BeNumerically("<=", 400*time.Millisecond), "a tenth of the objective")
			g.Expect(f.RetryAfter).To(gomega.BeNumerically(">=", 400*time.Millisecond))
			if soonest == 0 || f.RetryAfter < soonest {
				soonest = f.RetryAfter
			}
			latest = max(latest, f.RetryAfter)
		}
		g.Expect(refused).To(gomega.BeNumerically(">", 20))
		g.Expect(latest - soonest).To(gomega.BeNumerically(">=", 800*time.Millisecond))
	})
}

// Twice as many prompts come within a moment as servers; all of them can begin in time.
func TestWhoCanBeServedInTimeIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm, _ := newWarmVM(t, 10)
		for i, o := range vm.playAs(t.Context(), "s", every(20*time.Millisecond, 20), competing(1)) {
			g.Expect(o.err).NotTo(gomega.HaveOccurred(), "caller %d", i)
			g.Expect(o.first).To(gomega.BeNumerically("<=", 5*time.Second))
		}
	})
}

// backlogged returns a VM with one server, behind whose backlog only the most urgent class
// may be put.
func backlogged(t *testing.T) *modelVM {
	vm, _ := newWarmVM(t, 1)
	load := vm.dir.View().Service("s")[0].BeginStream(16000)
	t.Cleanup(load.End)
	return vm
}

func TestCallerThatLeavesWhileWaitingIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm := backlogged(t)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			time.Sleep(100 * time.Millisecond)
			g.Expect(vm.Waiting()).To(gomega.Equal(map[string][]int{"s": {0, 0, 1}}))
			cancel()
		}()
		o := vm.playAs(ctx, "s", every(0, 1), competing(2))[0]
		var end *End
		g.Expect(errors.As(o.err, &end)).To(gomega.BeTrue())
		g.Expect(end.By).To(gomega.Equal(EndedByCaller))
		g.Expect(o.took).To(gomega.Equal(100 * time.Millisecond))
		g.Expect(vm.Waiting()).To(gomega.Equal(map[string][]int{"s": {0, 0, 0}}))
	})
}

func TestStopRefusesStreamsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm := backlogged(t)
		go func() {
			time.Sleep(100 * time.Millisecond)
			vm.StopWaiting()
			vm.StopWaiting() // a second time has no effect
		}()
		o := vm.playAs(t.Context(), "s", every(0, 1), competing(2))[0]
		var f *Failure
		g.Expect(errors.As(o.err, &f)).To(gomega.BeTrue())
		g.Expect(f.Ran).To(gomega.BeFalse())
		g.Expect(f.By).To(gomega.Equal(EndedByStop))
		g.Expect(f.RetryAfter).To(gomega.Equal(stopRetryAfter))
		g.Expect(o.took).To(gomega.Equal(100 * time.Millisecond))
		g.Expect(vm.playAs(t.Context(), "t", every(0, 1), competing(2))[0].took).To(gomega.BeZero(), "one that comes later doesn't wait either")
	})
}

// Guards against a change for services whose routes don't state different priorities.
func TestWithoutCompetitionNothingWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm := backlogged(t)
		o := vm.playAs(t.Context(), "s", every(0, 1), func(*Request) {})[0]
		g.Expect(o.err).NotTo(gomega.HaveOccurred())
		g.Expect(o.first).To(gomega.BeNumerically("<", 1500*time.Millisecond), "it was sent at once: the backlog isn't a real one")
	})
}

// A stream whose server is lost goes on at once, whatever waits.
func TestStreamAfterALossDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm := backlogged(t)
		o := vm.playAs(t.Context(), "s", every(0, 1), func(r *Request) {
			competing(2)(r)
			r.LastEvent = "3"
		})[0]
		g.Expect(o.err).NotTo(gomega.HaveOccurred())
		g.Expect(o.first).To(gomega.BeNumerically("<", 1500*time.Millisecond))
	})
}

// knownRefusals is a Refusals of a single process.
type knownRefusals struct {
	mu    sync.Mutex
	until map[types.Fingerprint]time.Time
}

func (k *knownRefusals) Record(fp types.Fingerprint, until time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.until[fp] = until
}

func (k *knownRefusals) Returns(fp types.Fingerprint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.until[fp])
}

// A refused caller comes back after its Retry-After, with another id, and starts before a
// stream of its class that came earlier.
func TestCallerThatComesBackGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm, _ := newWarmVM(t, 1)
		vm.opts.Refusals = &knownRefusals{until: map[types.Fingerprint]time.Time{}}
		load := vm.dir.View().Service("s")[0].BeginStream(100000)
		refused := vm.playAs(t.Context(), "back", every(0, 1), competing(2))[0]
		var f *Failure
		g.Expect(errors.As(refused.err, &f)).To(gomega.BeTrue())
		load.End()
		time.Sleep(f.RetryAfter)
		load = vm.dir.View().Service("s")[0].BeginStream(16000)
		var started sync.Map // name -> when its first event came
		var callers sync.WaitGroup
		for i, name := range []string{"new", "back"} {
			callers.Go(func() {
				at := every(time.Duration(i)*10*time.Millisecond, 2)[1]
				o := vm.playAs(t.Context(), name, []time.Duration{at}, competing(2))[0]
				g.Expect(o.err).NotTo(gomega.HaveOccurred())
				started.Store(name, at+o.first)
			})
		}
		time.Sleep(time.Second)
		load.End()
		callers.Wait()
		back, _ := started.Load("back")
		other, _ := started.Load("new")
		g.Expect(back).To(gomega.BeNumerically("<", other))
	})
}

// Two VMs send to the same servers and don't hear of each other's load. Each expects first
// events at half the time that they take.
func TestEstimatesLearnFromWhatCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm, engines := newWarmVM(t, 10)
		other := newModelVM(engines, modelServers(10))
		other.play(t, "warm too", every(0, 10))
		var one, two []received
		var vms sync.WaitGroup
		vms.Go(func() { one = vm.playAs(t.Context(), "one", every(80*time.Millisecond, 250), competing(0)) })
		vms.Go(func() { two = other.playAs(t.Context(), "two", every(80*time.Millisecond, 250), competing(0)) })
		vms.Wait()
		inTime, late, refused := begun(append(one[100:], two[100:]...), 4*time.Second) // after eight seconds
		t.Logf("%d in time, %d late, %d refused", inTime, late, refused)
		g.Expect(late).To(gomega.BeNumerically("<=", inTime/2))
		g.Expect(inTime).To(gomega.BeNumerically(">=", 60), "half of what the servers can begin")
	})
}

// heldElsewhere is a Pressure of which other processes hold back a rank.
type heldElsewhere struct {
	rank int
	mu   sync.Mutex
	own  []int
}

func (p *heldElsewhere) HoldBack(_ string, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = append(p.own, rank)
}

func (p *heldElsewhere) MostUrgent(string) (int, bool) { return p.rank, true }

// The load is one stream of each class while another process refuses streams of the second one.
func TestStreamsGiveWayToMoreUrgentOnesOfOtherProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		vm, _ := newWarmVM(t, 1)
		pressure := &heldElsewhere{rank: 1}
		vm.opts.Pressure = pressure
		first := vm.playAs(t.Context(), "first", []time.Duration{0}, competing(0))
		g.Expect(first[0].err).NotTo(gomega.HaveOccurred())
		go vm.playAs(t.Context(), "busy", []time.Duration{0}, competing(1))
		time.Sleep(10 * time.Millisecond)
		last := vm.playAs(t.Context(), "last", []time.Duration{0}, competing(2))
		g.Expect(last[0].err).NotTo(gomega.HaveOccurred())
		pressure.mu.Lock()
		defer pressure.mu.Unlock()
		g.Expect(pressure.own).To(gomega.HaveEach(2), "the stream of the second class starts at once, the last one waits")
		g.Expect(pressure.own).NotTo(gomega.BeEmpty())
	})
}
