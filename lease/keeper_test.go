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

// term makes the margin 0.9 s: Held returns true for 8.1 s after a write was sent,
// and a waiter takes over after watching the row for 9.9 s.
const term = 9 * time.Second

// process runs a keeper whose table can be made unavailable.
type process struct {
	*Keeper
	table *faultyTable
	stop  context.CancelFunc
	done  chan struct{}
}

func startProcess(m *memoryTable, holder string) *process {
	table := &faultyTable{memoryTable: m}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		Keeper: New(Options{Table: table, Name: "orders", Holder: holder, Term: term}),
		table:  table, stop: cancel, done: make(chan struct{}),
	}
	go func() {
		_ = p.Run(ctx)
		close(p.done)
	}()
	return p
}

func (p *process) setTableDown(down bool) { p.table.setFault(func() { p.table.down = down }) }

func (p *process) stopAndWait() {
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

// The holder loses its connection to the table service. It must stop acting before
// another process takes over, and must not use its old number once it is connected
// again.
func TestDisconnectedHolderStopsBeforeTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryTable()
		a := startProcess(m, "a")
		defer a.stopAndWait()
		time.Sleep(time.Second)
		b := startProcess(m, "b")
		defer b.stopAndWait()
		time.Sleep(time.Minute)
		g.Expect(a.fence()).To(Equal(Fence(1)))
		g.Expect(b.fence()).To(BeZero())

		a.setTableDown(true)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			g.Expect(a.fence() != 0 && b.fence() != 0).To(BeFalse(), "two processes hold the lease at once")
		}
		g.Expect(b.fence()).To(Equal(Fence(2)))
		a.setTableDown(false)
		time.Sleep(time.Minute)
		g.Expect(a.fence()).To(BeZero())
		g.Expect(a.opts.Recorder.Entries("")).To(HaveLen(3), "lease_taken, lease_lapsed, lease_lost")
	})
}

// The holder is paused until after its term. Held must return false at the first
// call after that, without a step of Run in between.
func TestPausedHolderSeesThatItsHoldHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		k := New(Options{Table: &faultyTable{memoryTable: newMemoryTable()}, Name: "orders", Holder: "a", Term: term})
		k.step(t.Context())
		g.Expect(k.Dump()).To(Equal(Dump{Name: "orders", Holder: "a", Held: true, Fence: 1, LeftMS: 8100}))
		time.Sleep(8101 * time.Millisecond)
		g.Expect(k.Dump().Held).To(BeFalse())
	})
}

// The VM was suspended: its monotonic clock stopped, and only the wall clock shows
// the time that has passed. The hold must have ended.
func TestSuspendedVMSeesThatItsHoldHasEnded(t *testing.T) {
	g := NewWithT(t)
	k := New(Options{Table: &faultyTable{memoryTable: newMemoryTable()}, Name: "orders", Holder: "a", Term: term})
	k.step(t.Context())
	_, _, ok := k.Held()
	g.Expect(ok).To(BeTrue())
	k.now = func() instant { n := now(); n.wall = n.wall.Add(time.Hour); return n }
	_, _, ok = k.Held()
	g.Expect(ok).To(BeFalse())
	k.now = func() instant { n := now(); n.wall = n.wall.Add(-time.Hour); return n }
	_, _, ok = k.Held()
	g.Expect(ok).To(BeTrue(), "a wall clock set back must not end the hold: the monotonic clock counts")
}

// The response to a renewal is lost, and the write takes effect at once or later.
// The holder must neither take its own write for another holder's, nor count the
// term from when it learned of the write instead of when it sent it.
func TestAmbiguousRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := startProcess(newMemoryTable(), "a")
		defer a.stopAndWait()
		time.Sleep(time.Second)
		a.table.setFault(func() { a.table.loseResponse = true })
		time.Sleep(3 * time.Second)
		g.Expect(a.fence()).To(Equal(Fence(1)))
		_, until, _ := a.Held()
		g.Expect(time.Until(until)).To(Equal(8100*time.Millisecond - time.Second)) // sent a second ago

		a.table.setFault(func() { a.table.delay = 4 * time.Second }) // takes effect between two later renewals
		time.Sleep(time.Minute)
		g.Expect(a.fence()).To(Equal(Fence(1)))
	})
}

// The response to a renewal is lost, the write takes effect a second later, and the
// holder finds it three seconds after sending it. A waiter may have watched the row
// since that first second, so the term must count from the sending.
func TestLateRenewalCountsFromItsSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := &faultyTable{memoryTable: newMemoryTable()}
		k := New(Options{Table: table, Name: "orders", Holder: "a", Term: term})
		k.step(t.Context())
		table.setFault(func() { table.delay = time.Second })
		k.step(t.Context())
		sent := time.Now()
		time.Sleep(3 * time.Second)
		table.setFault(func() { table.readOnly = true })
		k.step(t.Context())
		_, until, ok := k.Held()
		g.Expect(ok).To(BeTrue())
		g.Expect(until.Sub(sent)).To(Equal(8100 * time.Millisecond))
	})
}

// A process stops being a candidate and becomes one again, after the holder has
// died. The time before the interruption must not count as watching the row.
func TestCandidateWatchesAFullTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m, candidate := newMemoryTable(), true
		New(Options{Table: &faultyTable{memoryTable: m}, Name: "orders", Holder: "a", Term: term}).step(t.Context())
		k := New(Options{Table: &faultyTable{memoryTable: m}, Name: "orders", Term: term, Candidate: func() bool { return candidate }})
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

// The response to the write that takes the lease is lost. The fencing number must be
// known from reading back, and must not be used twice.
func TestAmbiguousTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryTable()
		table := &faultyTable{memoryTable: m, loseResponse: true}
		k := New(Options{Table: table, Name: "orders", Holder: "a", Term: term})
		k.step(t.Context())
		g.Expect(k.Dump().Fence).To(Equal(Fence(1)))
		fence, err := ReadFence(t.Context(), table, "orders")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fence).To(Equal(Fence(1)))
	})
}

// A process restarts with the same name. The previous run may be paused instead of
// dead, so the new one must wait like any other process and get its own number.
func TestRestartUnderTheSameNameIsAnotherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryTable()
		first := startProcess(m, "a")
		time.Sleep(time.Second)
		first.setTableDown(true)
		second := startProcess(m, "a")
		defer second.stopAndWait()
		time.Sleep(8 * time.Second)
		g.Expect(second.fence()).To(BeZero())
		time.Sleep(6 * time.Second)
		g.Expect(second.fence()).To(Equal(Fence(2)))
		first.stopAndWait()
	})
}

// After a planned stop another process gets the lease at once. After the row was
// deleted, numbers must continue: with smaller ones, sidecars would refuse every
// order.
func TestReleaseAndDeletedRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMemoryTable()
		a, b := startProcess(m, "a"), startProcess(m, "b")
		time.Sleep(time.Minute)
		if a.fence() == 0 {
			a, b = b, a
		}
		a.stopAndWait()
		time.Sleep(4 * time.Second) // until its next read of the row
		g.Expect(b.fence()).To(Equal(Fence(2)))
		m.mu.Lock()
		delete(m.rows, Key("orders"))
		m.mu.Unlock()
		time.Sleep(30 * time.Second)
		g.Expect(b.fence()).To(Equal(Fence(3)))
		b.stopAndWait()
	})
}

// Three processes with random faults: a disconnected table, commits whose response
// is lost or that take effect late, restarts. At no time may two of them hold the
// lease, and a holder must not have a smaller number than an earlier one.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type act struct{ who, what, wait int }
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{rapid.IntRange(0, 2).Draw(t, "who"), rapid.IntRange(0, 4).Draw(t, "what"), rapid.IntRange(1, 15000).Draw(t, "ms")}
		}), 1, 15).Draw(rt, "acts")
		var once sync.Once
		synctest.Test(t, func(t *testing.T) {
			m := newMemoryTable()
			ps := []*process{startProcess(m, "a"), startProcess(m, "b"), startProcess(m, "c")}
			last := Fence(0)
			for _, a := range acts {
				p := ps[a.who]
				switch a.what {
				case 0:
					p.setTableDown(true)
				case 1:
					p.setTableDown(false)
				case 2:
					p.table.setFault(func() { p.table.loseResponse = true })
				case 3:
					p.table.setFault(func() { p.table.delay = time.Duration(a.wait) * time.Millisecond })
				case 4:
					p.stopAndWait()
					ps[a.who] = startProcess(m, "again")
				}
				for left := a.wait; left > 0; left -= 250 {
					time.Sleep(250 * time.Millisecond)
					holders := 0
					for _, p := range ps {
						if f := p.fence(); f != 0 {
							holders++
							if f < last {
								once.Do(func() { rt.Errorf("fence %d is held after fence %d", f, last) })
							}
							last = max(last, f)
						}
					}
					if holders > 1 {
						once.Do(func() { rt.Errorf("%d processes hold the lease at once", holders) })
					}
				}
			}
			for _, p := range ps {
				p.stopAndWait()
			}
		})
	})
}
