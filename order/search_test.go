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

// The search runs the real Guard through every interleaving of the steps of two
// lease holders and one restart of the sidecar, with an engine that ignores fencing
// numbers.
//
// The steps of a holder: it takes the lease, it checks the lease, its order arrives
// at the sidecar, the engine executes the order. Holder a is replaced by b, so a's
// check fails once b has taken the lease. Any steps may happen between a check and
// the arrival of the order.
const (
	stepTake = iota
	stepCheck
	stepArrive
	stepEffect
	stepCount
)

// guards tells which guards are enabled. If any one of them is disabled, the search
// must find a stale order that takes effect.
type guards struct {
	checkNumber bool // the sidecar refuses numbers below the highest seen
	readRow     bool // after a restart the sidecar reads the lease row first
	oneAtATime  bool // the engine executes one order at a time
}

// gatedEngine executes an order when its gate opens, even if the sender has stopped
// waiting by then.
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

// simulation is one run. Orders that the sidecar passed to the engine before it
// restarted stay with the engine; the restarted sidecar doesn't know of them.
type simulation struct {
	guards    guards
	engine    *gatedEngine
	guard     *Guard
	rowFence  uint64  // the fencing number in the lease row
	leaseHeld [3]bool // by fencing number: result of the holder's check
}

func newSimulation(enabled guards) *simulation {
	s := &simulation{guards: enabled, engine: &gatedEngine{gates: map[uint64]chan struct{}{1: make(chan struct{}), 2: make(chan struct{})}}}
	s.startGuard(false)
	return s
}

// startGuard starts the sidecar's guard. Without the guard readRow, a restarted one
// doesn't read the lease row.
func (s *simulation) startGuard(isRestart bool) {
	s.guard = NewGuard(GuardOptions{Engine: s.engine, ReadFence: func(context.Context) (uint64, error) { return s.rowFence, nil }})
	s.guard.fenceRead = isRestart && !s.guards.readRow
	if !s.guards.oneAtATime {
		s.guard.executing = make(chan struct{}, 2)
	}
}

func (s *simulation) step(fence uint64, step int) {
	switch step {
	case stepTake:
		s.rowFence = fence
	case stepCheck:
		s.leaseHeld[fence] = s.rowFence == fence
	case stepArrive:
		if s.leaseHeld[fence] {
			go s.arrive(s.guard, fence)
		}
	case stepEffect:
		close(s.engine.gates[fence])
	}
	synctest.Wait()
}

// arrive delivers an order to the sidecar. Without the guard checkNumber, the
// sidecar has forgotten all earlier numbers.
func (s *simulation) arrive(g *Guard, fence uint64) {
	if !s.guards.checkNumber {
		g.mu.Lock()
		g.highestFence, g.fenceRead = 0, true
		g.mu.Unlock()
	}
	_ = g.Order(context.Background(), engine.Order{Kind: engine.OrderLoadModel, Fence: fence})
}

// run executes a schedule, a string of a and b for the next step of a holder and r
// for the restart.
func (s *simulation) run(schedule string) {
	next := map[rune]int{}
	for _, who := range schedule {
		if who == 'r' {
			s.startGuard(true)
			continue
		}
		s.step(uint64(who-'a')+1, next[who])
		next[who]++
	}
}

// schedules lists every interleaving in which a takes the lease before b. With
// restart, the sidecar restarts once, at any point at which the engine executes no
// order (an order that outlives the run of its sidecar is case 6).
func schedules(restart bool) []string {
	var out []string
	var extend func(s string, a, b, r int)
	extend = func(s string, a, b, r int) {
		if a == stepCount && b == stepCount && (r == 1 || !restart) {
			out = append(out, s)
			return
		}
		if a < stepCount {
			extend(s+"a", a+1, b, r)
		}
		if b < stepCount && a > stepTake {
			extend(s+"b", a, b+1, r)
		}
		if restart && r == 0 && a != stepEffect && b != stepEffect {
			extend(s+"r", a, b, 1)
		}
	}
	extend("", 0, 0, 0)
	return out
}

// search runs every schedule, and returns those in which a stale order takes effect.
func search(t *testing.T, enabled guards, restart bool) (violations []string, runs int) {
	all := schedules(restart)
	for _, schedule := range all {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(enabled)
			s.run(schedule)
			if s.engine.stale() {
				violations = append(violations, schedule)
			}
		})
	}
	return violations, len(all)
}

// An order of a replaced holder that takes effect after its successor's leaves the
// old version loaded. With all guards this happens in no interleaving; without any
// one of them it happens in some.
func TestNoInterleavingAppliesAStaleOrder(t *testing.T) {
	all := guards{checkNumber: true, readRow: true, oneAtATime: true}
	for _, c := range []struct {
		name    string
		enabled guards
		restart bool
		found   bool
	}{
		{"all guards", all, false, false},
		{"all guards, restart", all, true, false},
		{"number not checked", guards{readRow: true, oneAtATime: true}, false, true},
		{"row not read after a restart", guards{checkNumber: true, oneAtATime: true}, true, true},
		{"concurrent orders", guards{checkNumber: true, readRow: true}, false, true},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			g := NewWithT(t)
			violations, runs := search(t, c.enabled, c.restart)
			t.Logf("a stale order takes effect in %d of %d interleavings", len(violations), runs)
			if !c.found {
				g.Expect(violations).To(BeEmpty())
				return
			}
			g.Expect(violations).NotTo(BeEmpty())
		})
	}
}
