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

// bench is a service of engines behind guards, and reconcilers over it.
type bench struct {
	fleet   *fleet
	engines []*fakeEngine
	weights *fakeWeights
	want    []Artefact
}

func newBench(n int) *bench {
	b := &bench{
		fleet:   &fleet{guards: map[string]*Guard{}, pause: map[string]chan struct{}{}, down: map[string]bool{}},
		weights: &fakeWeights{lacks: map[string]bool{}},
		want:    []Artefact{{Kind: engine.OrderLoadModel, Name: "pear", Version: "2"}},
	}
	for i := range n {
		e := &fakeEngine{}
		e.apply(load("1", 0))
		b.engines = append(b.engines, e)
		b.fleet.guards[addr(i)] = NewGuard(GuardOptions{Engine: e, ReadFence: constant(1)})
	}
	return b
}

func addr(i int) string { return fmt.Sprint("s", i) }

func (b *bench) desired() []Target {
	var out []Target
	for i := range b.engines {
		out = append(out, Target{Address: addr(i), Service: "pear-models", Want: b.want})
	}
	return out
}

func (b *bench) reconciler(l Lease) *Reconciler {
	return New(Options{
		Lease: l, Sidecar: b.fleet, Weights: b.weights, Desired: b.desired, Recorder: event.Discard(),
	})
}

func (b *bench) run(t *testing.T, l Lease) *Reconciler {
	r := b.reconciler(l)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = r.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

func (b *bench) serving(version string) int {
	n := 0
	for _, e := range b.engines {
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

// A new version is asked for. All engines get it, but never more than a quarter
// of the service loads at a time, and the weight store is asked once a pass.
func TestNewVersionIsLoadedInShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(12)
		for _, e := range b.engines {
			e.delay = 40 * time.Second
		}
		r := b.run(t, held(1))
		for pass := range 60 {
			time.Sleep(5 * time.Second)
			ordered := 0
			for _, e := range b.engines {
				ordered += e.taken()
			}
			g.Expect(ordered-b.serving("2")).To(BeNumerically("<=", 3), "pass %d", pass)
		}
		g.Expect(b.serving("2")).To(Equal(12))
		g.Expect(b.serving("1")).To(BeZero())
		g.Expect(b.weights.asked).To(BeNumerically("<", 60))
		for _, s := range r.Dump().Servers {
			g.Expect(s.Due).To(BeEmpty())
		}
	})
}

// The lease lapses while its holder is frozen in the middle of a pass, between
// two servers. It wakes and must send nothing more.
func TestHolderFrozenInMidPassSendsNothingAfterWaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b, l := newBench(8), &fakeLease{}
		l.grant(1, 8*time.Second)
		frozen := make(chan struct{})
		b.fleet.pause[addr(0)] = frozen
		r := b.reconciler(l)
		go r.pass(t.Context())
		time.Sleep(time.Minute)
		close(frozen)
		synctest.Wait()
		g.Expect(b.engines[0].taken()).To(Equal(1), "was under way, and nobody knows better yet")
		g.Expect(b.engines[1].taken()).To(BeZero())
		g.Expect(r.opts.Recorder.Entries("")).To(ContainElement(HaveField("Name", "order_lease_gone")))
	})
}

// Two reconcilers: the older one's order is on its way to a sidecar when the
// newer one has ordered. It must come to nothing, and the older one must stop.
func TestTwoReconcilers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(1)
		old, young := held(1), held(2)
		late := make(chan struct{})
		b.fleet.pause[addr(0)] = late
		b.want = []Artefact{{Kind: engine.OrderLoadModel, Name: "pear", Version: "old"}}
		go b.reconciler(old).pass(t.Context())
		synctest.Wait()

		b.fleet.mu.Lock()
		delete(b.fleet.pause, addr(0))
		b.fleet.mu.Unlock()
		b.want = []Artefact{{Kind: engine.OrderLoadModel, Name: "pear", Version: "2"}}
		b.reconciler(young).pass(t.Context())
		g.Expect(b.engines[0].versions()).To(Equal([]string{"pear@2"}))
		close(late)
		synctest.Wait()
		g.Expect(b.engines[0].versions()).To(Equal([]string{"pear@2"}))
		g.Expect(b.engines[0].taken()).To(Equal(1))
	})
}

// An order reaches the engine past the sidecar and undoes what the holder
// ordered (package doc, case 7). It can't be prevented on an engine that ignores
// the number; the next pass must see it, say so and order again.
func TestOvertakenOrderIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(1)
		r := b.run(t, held(3))
		time.Sleep(11 * time.Second)
		g.Expect(b.serving("2")).To(Equal(1))
		_ = b.engines[0].Order(t.Context(), load("1", 2))
		g.Expect(b.serving("1")).To(Equal(1))
		time.Sleep(6 * time.Second)
		g.Expect(b.engines[0].versions()).To(Equal([]string{"pear@2"}))
		g.Expect(r.opts.Recorder.Entries("")).To(ContainElement(HaveField("Name", "order_overtaken")))
	})
}

// The text asks for a version that the weight store doesn't have yet. Nothing is
// ordered, the engines keep serving, and once it is there it is loaded.
func TestUnavailableVersionIsNotOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(4)
		b.weights.lacks["pear@2"] = true
		r := b.run(t, held(1))
		time.Sleep(time.Minute)
		g.Expect(b.serving("1")).To(Equal(4))
		g.Expect(r.opts.Recorder.Entries("")).To(HaveLen(1), "told once")
		b.weights.mu.Lock()
		b.weights.lacks["pear@2"] = false
		b.weights.mu.Unlock()
		time.Sleep(time.Minute)
		g.Expect(b.serving("2")).To(Equal(4))
	})
}

// Not the holder: nothing is read or ordered, whatever the text says.
func TestOthersDoNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBench(2)
		r := b.run(t, &fakeLease{})
		time.Sleep(time.Minute)
		g.Expect(b.engines[0].taken()).To(BeZero())
		g.Expect(r.Dump()).To(Equal(Dump{}))
	})
}

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

// BenchmarkPass1600 is one pass of the holder over a settled service of the
// target's size, without the network.
func BenchmarkPass1600(b *testing.B) {
	bench := newBench(1600)
	r := bench.reconciler(held(1))
	for bench.serving("2") < 1600 {
		r.pass(b.Context())
	}
	b.ReportAllocs()
	for b.Loop() {
		r.pass(b.Context())
	}
}
