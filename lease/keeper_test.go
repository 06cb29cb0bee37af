package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const term = 9 * time.Second

// process runs a keeper that can be paused, as a frozen process is: its clocks
// go on, its code doesn't.
type process struct {
	*Keeper
	table *view
	stop  context.CancelFunc
	done  chan struct{}
}

func launch(m *memory, holder string) *process {
	v := &view{memory: m}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		Keeper: New(Options{Table: v, Name: "orders", Holder: holder, Term: term}),
		table:  v, stop: cancel, done: make(chan struct{}),
	}
	go func() {
		_ = p.Run(ctx)
		close(p.done)
	}()
	return p
}

func (p *process) cut(down bool) { p.table.set(func() { p.table.down = down }) }

func (p *process) end() {
	p.stop()
	<-p.done
}

func (p *process) fence() Fence {
	f, _, ok := p.Held()
	if !ok {
		return 0
	}
	return f
}

// The holder is cut off from the table service. It must stop before any other
// takes over, and when it is back it must not act under its old number.
func TestCutOffHolderStopsBeforeTheNextBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemory()
		a := launch(m, "a")
		defer a.end()
		time.Sleep(time.Second)
		b := launch(m, "b")
		defer b.end()
		time.Sleep(time.Minute)
		g.Expect(a.fence()).To(Equal(Fence(1)))
		g.Expect(b.fence()).To(BeZero())

		a.cut(true)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(a.fence() != 0 && b.fence() != 0).To(BeFalse(), "two holders at once")
		}
		g.Expect(b.fence()).To(Equal(Fence(2)))
		a.cut(false)
		time.Sleep(time.Minute)
		g.Expect(a.fence()).To(BeZero())
		g.Expect(a.opts.Recorder.Entries("")).To(HaveLen(3), "taken, lapsed, lost")
	})
}

// The holder is frozen past its term and wakes. The first thing it does is to
// look at its hold, with no step of Run in between: it must see that it is over.
func TestFrozenHolderSeesThatItsHoldIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		k := New(Options{Table: &view{memory: newMemory()}, Name: "orders", Holder: "a", Term: term})
		k.step(t.Context())
		g.Expect(k.Dump()).To(Equal(Dump{Name: "orders", Holder: "a", Held: true, Fence: 1, LeftMS: 8100}))
		time.Sleep(8101 * time.Millisecond)
		g.Expect(k.Dump().Held).To(BeFalse())
	})
}

// The VM is suspended: its monotonic clock stood still, its wall clock is right
// again after waking. The hold must count as over.
func TestSuspendedVMSeesThatItsHoldIsOver(t *testing.T) {
	g := NewWithT(t)
	k := New(Options{Table: &view{memory: newMemory()}, Name: "orders", Holder: "a", Term: term})
	k.step(t.Context())
	_, _, ok := k.Held()
	g.Expect(ok).To(BeTrue())
	k.now = func() instant { n := now(); n.wall = n.wall.Add(time.Hour); return n }
	_, _, ok = k.Held()
	g.Expect(ok).To(BeFalse())
	k.now = func() instant { n := now(); n.wall = n.wall.Add(-time.Hour); return n }
	_, _, ok = k.Held()
	g.Expect(ok).To(BeTrue(), "a clock set back ends nothing: the monotonic one counts")
}

// The answer to a renewal is lost, with or without effect, now or much later.
// The holder must neither lose its hold to its own write nor count the term from
// when it learned of the write instead of from when it sent it.
func TestAmbiguousRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := launch(newMemory(), "a")
		defer a.end()
		time.Sleep(time.Second)
		a.table.set(func() { a.table.loseAnswer = true })
		time.Sleep(3 * time.Second)
		g.Expect(a.fence()).To(Equal(Fence(1)))
		_, until, _ := a.Held()
		g.Expect(time.Until(until)).To(Equal(8100*time.Millisecond - time.Second))

		a.table.set(func() { a.table.late = 4 * time.Second }) // lands between two later renewals
		time.Sleep(time.Minute)
		g.Expect(a.fence()).To(Equal(Fence(1)))
	})
}

// A renewal's answer is lost and it takes effect a second later; the holder
// recognises it only three seconds after sending it. A waiter may have watched
// the row since that first second, so the term counts from the sending.
func TestLateRenewalCountsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		v := &view{memory: newMemory()}
		k := New(Options{Table: v, Name: "orders", Holder: "a", Term: term})
		k.step(t.Context())
		v.set(func() { v.late = time.Second })
		k.step(t.Context())
		sent := time.Now()
		time.Sleep(3 * time.Second)
		v.set(func() { v.readOnly = true })
		k.step(t.Context())
		_, until, ok := k.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(until.Sub(sent)).To(Equal(8100 * time.Millisecond))
	})
}

// A process becomes a candidate after the holder's death. What it read of the row
// before it stopped watching must not count as watching.
func TestCandidateWatchesAFullTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, candidate := newMemory(), true
		New(Options{Table: &view{memory: m}, Name: "orders", Holder: "a", Term: term}).step(t.Context())
		k := New(Options{Table: &view{memory: m}, Name: "orders", Term: term, Candidate: func() bool { return candidate }})
		k.step(t.Context())
		candidate = false
		time.Sleep(5 * time.Second)
		k.step(t.Context())
		candidate = true
		time.Sleep(5 * time.Second)
		k.step(t.Context())
		g.Expect(k.Dump().Held).To(BeFalse())
		time.Sleep(9900 * time.Millisecond)
		k.step(t.Context())
		g.Expect(k.Dump().Fence).To(Equal(Fence(2)))
	})
}

// The answer to the write that takes the lease over is lost: the fencing number
// must be known from reading back, and no number is used up twice.
func TestAmbiguousTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemory()
		v := &view{memory: m, loseAnswer: true}
		k := New(Options{Table: v, Name: "orders", Holder: "a", Term: term})
		k.step(t.Context())
		g.Expect(k.Dump().Fence).To(Equal(Fence(1)))
		fence, err := ReadFence(t.Context(), v, "orders")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fence).To(Equal(Fence(1)))
	})
}

// A process restarts under its old name. The run before may be paused, not
// dead, so the new one waits like any other and gets its own number.
func TestRestartUnderTheSameNameIsAnotherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemory()
		first := launch(m, "a")
		time.Sleep(time.Second)
		first.cut(true)
		second := launch(m, "a")
		defer second.end()
		time.Sleep(8 * time.Second)
		g.Expect(second.fence()).To(BeZero())
		time.Sleep(6 * time.Second)
		g.Expect(second.fence()).To(Equal(Fence(2)))
		first.end()
	})
}

// A planned stop hands the lease on at once; a deleted row doesn't start the
// numbers anew, as sidecars would then refuse every order.
func TestReleaseAndDeletedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemory()
		a, b := launch(m, "a"), launch(m, "b")
		time.Sleep(time.Minute)
		if a.fence() == 0 {
			a, b = b, a
		}
		a.end()
		time.Sleep(4 * time.Second) // its next look at the row
		g.Expect(b.fence()).To(Equal(Fence(2)))
		m.mu.Lock()
		delete(m.rows, Key("orders"))
		m.mu.Unlock()
		time.Sleep(30 * time.Second)
		g.Expect(b.fence()).To(Equal(Fence(3)))
		b.end()
	})
}

// Three processes, whatever is cut, lost, late or stopped: at no moment do two
// hold the lease, and each change of holder has a larger number.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type act struct{ who, what, wait int }
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{rapid.IntRange(0, 2).Draw(t, "who"), rapid.IntRange(0, 4).Draw(t, "what"), rapid.IntRange(1, 15000).Draw(t, "ms")}
		}), 1, 15).Draw(rt, "acts")
		var once sync.Once
		synctest.Test(t, func(t *testing.T) {
			m := newMemory()
			ps := []*process{launch(m, "a"), launch(m, "b"), launch(m, "c")}
			last := Fence(0)
			for _, a := range acts {
				p := ps[a.who]
				switch a.what {
				case 0:
					p.cut(true)
				case 1:
					p.cut(false)
				case 2:
					p.table.set(func() { p.table.loseAnswer = true })
				case 3:
					p.table.set(func() { p.table.late = time.Duration(a.wait) * time.Millisecond })
				case 4:
					p.end()
					ps[a.who] = launch(m, "again")
				}
				for left := a.wait; left > 0; left -= 250 {
					time.Sleep(250 * time.Millisecond)
					holders := 0
					for _, p := range ps {
						if f := p.fence(); f != 0 {
							holders++
							if f < last {
								once.Do(func() { rt.Errorf("fence %d after %d", f, last) })
							}
							last = max(last, f)
						}
					}
					if holders > 1 {
						once.Do(func() { rt.Errorf("%d holders at once", holders) })
					}
				}
			}
			for _, p := range ps {
				p.end()
			}
		})
	})
}
