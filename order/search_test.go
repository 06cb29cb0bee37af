package order

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/engine"
)

// The search runs the real Guard through every interleaving of two holders' steps
// and one restart of the sidecar, on an engine that ignores the number.
//
// Each holder: takes the lease, looks at it, its order arrives at the sidecar,
// the engine carries it out. Holder a is replaced by b, so a looks in vain after
// b took the lease; between look and arrival anything may pass.
const (
	stepTake = iota
	stepLook
	stepArrive
	stepEffect
	stepsOfHolder
)

// guards tells which guards are in place; the search must find the stale
// order's effect when any one of them is taken out.
type guards struct {
	number  bool // the sidecar refuses numbers below the highest seen
	reading bool // after a restart it reads the lease row first
	turns   bool // one order at a time is with the engine
}

// gatedEngine carries an order out when its gate opens, also if whoever sent it
// has stopped waiting by then.
type gatedEngine struct {
	gates map[uint64]chan struct{}

	mu      sync.Mutex
	effects []uint64
}

func (e *gatedEngine) Order(ctx context.Context, o engine.Order) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		<-e.gates[o.Fence]
		e.mu.Lock()
		defer e.mu.Unlock()
		e.effects = append(e.effects, o.Fence)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *gatedEngine) Loaded(context.Context) ([]engine.Loaded, error) { return nil, nil }

// stale reports whether an older order took effect after a newer one.
func (e *gatedEngine) stale() bool {
	for i := 1; i < len(e.effects); i++ {
		if e.effects[i] < e.effects[i-1] {
			return true
		}
	}
	return false
}

// world is one run. Orders that a restarted sidecar had handed to the engine
// are the engine's already; the new run of the sidecar doesn't know of them.
type world struct {
	in     guards
	engine *gatedEngine
	guard  *Guard
	row    uint64
	looked [3]bool
}

func newWorld(in guards) *world {
	w := &world{in: in, engine: &gatedEngine{gates: map[uint64]chan struct{}{1: make(chan struct{}), 2: make(chan struct{})}}}
	w.restart(false)
	return w
}

func (w *world) restart(again bool) {
	w.guard = NewGuard(GuardOptions{Engine: w.engine, ReadFence: func(context.Context) (uint64, error) { return w.row, nil }})
	w.guard.known = again && !w.in.reading
	if !w.in.turns {
		w.guard.turn = make(chan struct{}, 2)
	}
}

func (w *world) step(fence uint64, step int) {
	switch step {
	case stepTake:
		w.row = fence
	case stepLook:
		w.looked[fence] = w.row == fence
	case stepArrive:
		if w.looked[fence] {
			go w.arrive(w.guard, fence)
		}
	case stepEffect:
		close(w.engine.gates[fence])
	}
	synctest.Wait()
}

func (w *world) arrive(g *Guard, fence uint64) {
	if !w.in.number {
		g.mu.Lock()
		g.highest, g.known = 0, true
		g.mu.Unlock()
	}
	_ = g.Order(context.Background(), engine.Order{Kind: engine.OrderLoadModel, Fence: fence})
}

// schedule is a string of a, b and r: whose next step it is, or the restart.
func (w *world) run(schedule string) {
	next := map[rune]int{}
	for _, who := range schedule {
		if who == 'r' {
			w.restart(true)
			continue
		}
		w.step(uint64(who-'a')+1, next[who])
		next[who]++
	}
}

// schedules lists every interleaving in which a takes the lease before b and,
// with restart, the sidecar restarts once at any point where it has nothing in
// the engine's hands (an order that outlives its sidecar is case 6).
func schedules(restart bool) []string {
	var out []string
	var extend func(s string, a, b, r int)
	extend = func(s string, a, b, r int) {
		if a == stepsOfHolder && b == stepsOfHolder && (r == 1 || !restart) {
			out = append(out, s)
			return
		}
		if a < stepsOfHolder {
			extend(s+"a", a+1, b, r)
		}
		if b < stepsOfHolder && a > stepTake {
			extend(s+"b", a, b+1, r)
		}
		if restart && r == 0 && a != stepEffect && b != stepEffect {
			extend(s+"r", a, b, 1)
		}
	}
	extend("", 0, 0, 0)
	return out
}

func search(t *testing.T, in guards, restart bool) (violations []string, runs int) {
	all := schedules(restart)
	for _, schedule := range all {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(in)
			w.run(schedule)
			if w.engine.stale() {
				violations = append(violations, schedule)
			}
		})
	}
	return violations, len(all)
}

// An operator sees an engine serve the old version although the new one was
// loaded: a replaced holder's order took effect after its successor's. With all
// guards no interleaving shows it; without any one of them some do.
func TestSearchForAStaleOrdersEffect(t *testing.T) {
	all := guards{number: true, reading: true, turns: true}
	for _, c := range []struct {
		name    string
		in      guards
		restart bool
		found   bool
	}{
		{"all guards", all, false, false},
		{"all guards, restart", all, true, false},
		{"number not checked", guards{reading: true, turns: true}, false, true},
		{"row not read after a restart", guards{number: true, turns: true}, true, true},
		{"orders not one at a time", guards{number: true, reading: true}, false, true},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			g := NewWithT(t)
			violations, runs := search(t, c.in, c.restart)
			t.Logf("%d of %d interleavings show the stale order's effect", len(violations), runs)
			if !c.found {
				g.Expect(violations).To(BeEmpty())
				return
			}
			g.Expect(violations).NotTo(BeEmpty())
		})
	}
}
