package order

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
)

// fixture is a service whose engines are behind guards, and its configuration.
type fixture struct {
	sidecars *fakeSidecars
	engines  []*fakeEngine
	weights  *fakeWeights
	want     []Artefact
}

func newFixture(n int) *fixture {
	f := &fixture{
		sidecars: &fakeSidecars{guards: map[string]*Guard{}, pause: map[string]chan struct{}{}, down: map[string]bool{}},
		weights:  &fakeWeights{lacks: map[string]bool{}},
		want:     []Artefact{{Kind: engine.OrderLoadModel, Name: "pear", Version: "2"}},
	}
	for i := range n {
		e := &fakeEngine{}
		e.apply(load("1", 0))
		f.engines = append(f.engines, e)
		f.sidecars.guards[addr(i)] = NewGuard(GuardOptions{Engine: e, ReadFence: fixedFence(1)})
	}
	return f
}

func addr(i int) string { return fmt.Sprint("s", i) }

func (f *fixture) desired() []Target {
	var out []Target
	for i := range f.engines {
		out = append(out, Target{Address: addr(i), Service: "pear-models", Want: f.want})
	}
	return out
}

func (f *fixture) reconciler(l Lease) *Reconciler {
	return New(Options{
		Lease: l, Sidecar: f.sidecars, Weights: f.weights, Desired: f.desired, Recorder: event.Discard(),
	})
}

func (f *fixture) start(t *testing.T, l Lease) *Reconciler {
	r := f.reconciler(l)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = r.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func (f *fixture) serving(version string) int {
	n := 0
	for _, e := range f.engines {
		for _, v := range e.versions() {
			if v == "pear@"+version {
				n++
			}
		}
	}
	return n
}

func held(fence uint64) *fakeLease {
	l := &fakeLease{}
	l.grant(fence, time.Hour)
	return l
}

// The configuration asks for a new version. All engines get it, but no more than a
// quarter of the service may load at a time, and the weight store is asked once a
// pass.
func TestNewVersionIsLoadedInShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(12)
		for _, e := range f.engines {
			e.delay = 40 * time.Second
		}
		r := f.start(t, held(1))
		for pass := range 60 {
			time.Sleep(5 * time.Second)
			ordered := 0
			for _, e := range f.engines {
				ordered += e.orderCount()
			}
			g.Expect(ordered-f.serving("2")).To(BeNumerically("<=", 3), "pass %d", pass)
		}
		g.Expect(f.serving("2")).To(Equal(12))
		g.Expect(f.serving("1")).To(BeZero())
		g.Expect(f.weights.requests).To(BeNumerically("<", 60))
		for _, s := range r.Dump().Servers {
			g.Expect(s.Due).To(BeEmpty())
		}
	})
}

// The lease expires while its holder is paused in the middle of a pass, between two
// backend servers. It must not send another order after it resumes.
func TestHolderPausedInAPassSendsNothingAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, l := newFixture(8), &fakeLease{}
		l.grant(1, 8*time.Second)
		resume := make(chan struct{})
		f.sidecars.pause[addr(0)] = resume
		r := f.reconciler(l)
		go r.pass(t.Context())
		time.Sleep(time.Minute)
		close(resume)
		synctest.Wait()
		g.Expect(f.engines[0].orderCount()).To(Equal(1), "was in transit, and no newer fencing number is known yet")
		g.Expect(f.engines[1].orderCount()).To(BeZero())
		g.Expect(r.opts.Recorder.Entries("")).To(ContainElement(HaveField("Name", "order_lease_gone")))
	})
}

// The order of a replaced lease holder is in transit to a sidecar while the new
// holder's order is executed. The late order must have no effect.
func TestTwoReconcilers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		old, newer := held(1), held(2)
		late := make(chan struct{})
		f.sidecars.pause[addr(0)] = late
		f.want = []Artefact{{Kind: engine.OrderLoadModel, Name: "pear", Version: "old"}}
		go f.reconciler(old).pass(t.Context())
		synctest.Wait()

		f.sidecars.mu.Lock()
		delete(f.sidecars.pause, addr(0))
		f.sidecars.mu.Unlock()
		f.want = []Artefact{{Kind: engine.OrderLoadModel, Name: "pear", Version: "2"}}
		f.reconciler(newer).pass(t.Context())
		g.Expect(f.engines[0].versions()).To(Equal([]string{"pear@2"}))
		close(late)
		synctest.Wait()
		g.Expect(f.engines[0].versions()).To(Equal([]string{"pear@2"}))
		g.Expect(f.engines[0].orderCount()).To(Equal(1))
	})
}

// An order reaches the engine without going through its sidecar and undoes the
// lease holder's (case 7 of the package documentation). On an engine that ignores
// fencing numbers this can't be prevented; the next pass must detect it, emit an
// event and send the order again.
func TestOvertakenOrderIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(1)
		r := f.start(t, held(3))
		time.Sleep(11 * time.Second)
		g.Expect(f.serving("2")).To(Equal(1))
		_ = f.engines[0].Order(t.Context(), load("1", 2))
		g.Expect(f.serving("1")).To(Equal(1))
		time.Sleep(6 * time.Second)
		g.Expect(f.engines[0].versions()).To(Equal([]string{"pear@2"}))
		g.Expect(r.opts.Recorder.Entries("")).To(ContainElement(HaveField("Name", "order_overtaken")))
	})
}

// The configuration asks for a version that the weight store doesn't have yet. No
// order is sent and the engines keep serving; once the store has it, it is loaded.
func TestUnavailableVersionIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(4)
		f.weights.lacks["pear@2"] = true
		r := f.start(t, held(1))
		time.Sleep(time.Minute)
		g.Expect(f.serving("1")).To(Equal(4))
		g.Expect(r.opts.Recorder.Entries("")).To(HaveLen(1), "one event in all passes")
		f.weights.mu.Lock()
		f.weights.lacks["pear@2"] = false
		f.weights.mu.Unlock()
		time.Sleep(time.Minute)
		g.Expect(f.serving("2")).To(Equal(4))
	})
}

// A process that doesn't hold the lease reads nothing and sends no orders.
func TestProcessWithoutLeaseDoesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFixture(2)
		r := f.start(t, &fakeLease{})
		time.Sleep(time.Minute)
		g.Expect(f.engines[0].orderCount()).To(BeZero())
		g.Expect(r.Dump()).To(Equal(Dump{}))
	})
}

// The model is ordered before its adapter, and the old version is unloaded only
// after both are loaded. An empty target unloads nothing.
func TestPlanGoesByStages(t *testing.T) {
	g := NewWithT(t)
	target := Target{Want: []Artefact{
		{Kind: engine.OrderLoadAdapter, Name: "fiji", Version: "4"},
		{Kind: engine.OrderLoadModel, Name: "pear", Version: "2"},
	}}
	is := func(kind engine.OrderKind, name, version string) engine.Loaded {
		return engine.Loaded{Kind: kind, Name: name, Version: version}
	}
	old, model := is(engine.OrderLoadModel, "pear", "1"), is(engine.OrderLoadModel, "pear", "2")
	adapter := is(engine.OrderLoadAdapter, "fiji", "4")
	first := func(loaded ...engine.Loaded) string {
		orders := plan(target, loaded)
		if len(orders) == 0 {
			return ""
		}
		return describe(orders[0])
	}
	g.Expect(first(old)).To(Equal("load_model pear@2"))
	g.Expect(first(old, model)).To(Equal("load_adapter fiji@4"))
	g.Expect(first(old, model, adapter)).To(Equal("unload pear@1"))
	g.Expect(first(model, adapter)).To(BeEmpty())
	g.Expect(plan(Target{}, []engine.Loaded{old})).To(BeEmpty())
}

// BenchmarkPass1600 measures a pass, without the network, over a service of 1600
// backend servers that have all reached their target. This is the size for which
// the system is designed.
func BenchmarkPass1600(b *testing.B) {
	f := newFixture(1600)
	r := f.reconciler(held(1))
	for f.serving("2") < 1600 {
		r.pass(b.Context())
	}
	b.ReportAllocs()
	for b.Loop() {
		r.pass(b.Context())
	}
}
