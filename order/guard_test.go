package order

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/rpc/order"
)

// A holder is frozen after its last look at the lease; its successor orders
// version 2; the frozen one wakes and its order for version 1 arrives. The
// operator must go on seeing version 2, on engines that check and that don't.
func TestWokenHoldersOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		g := NewWithT(t)
		e := &fakeEngine{checks: checks}
		guard := NewGuard(GuardOptions{Engine: e, ReadFence: constant(7)})
		g.Expect(guard.Order(t.Context(), load("2", 8))).To(Succeed())
		g.Expect(guard.Order(t.Context(), load("1", 7))).To(MatchError(engine.ErrStaleFence))
		g.Expect(e.versions()).To(Equal([]string{"pear@2"}))
		g.Expect(guard.opts.Recorder.Entries("")[0].ID).To(Equal("PY3121"))
	}
}

// The same past the sidecar, straight to the engine: one that checks refuses;
// for one that ignores the number nothing can, and the stale order takes effect.
func TestBypassingTheSidecar(t *testing.T) {
	g := NewWithT(t)
	checks, ignores := &fakeEngine{checks: true}, &fakeEngine{}
	for _, e := range []*fakeEngine{checks, ignores} {
		g.Expect(NewGuard(GuardOptions{Engine: e, ReadFence: constant(8)}).Order(t.Context(), load("2", 8))).To(Succeed())
	}
	g.Expect(checks.Order(t.Context(), load("1", 7))).To(MatchError(engine.ErrStaleFence))
	g.Expect(ignores.Order(t.Context(), load("1", 7))).To(Succeed())
	g.Expect(ignores.versions()).To(Equal([]string{"pear@1"}), "if this fails the package doc's case 7 is out of date")
}

// The sidecar restarts between the new holder's order and the old one's, while
// the table service is down: it can't know better and must refuse both kinds.
func TestSidecarRestartsBetweenTwoOrders(t *testing.T) {
	g := NewWithT(t)
	e := &fakeEngine{}
	var tableErr error = backing.ErrUnavailable
	guard := NewGuard(GuardOptions{Engine: e, ReadFence: func(context.Context) (uint64, error) { return 8, tableErr }})
	g.Expect(guard.Order(t.Context(), load("1", 7))).To(MatchError(ErrFenceUnknown))
	g.Expect(guard.Order(t.Context(), load("2", 8))).To(MatchError(ErrFenceUnknown))
	g.Expect(guard.Dump()).To(Equal(GuardDump{}))
	tableErr = nil
	g.Expect(guard.Order(t.Context(), load("1", 7))).To(MatchError(engine.ErrStaleFence))
	g.Expect(guard.Order(t.Context(), load("2", 8))).To(Succeed())
	g.Expect(e.taken()).To(Equal(1))
	tableErr = backing.ErrUnavailable
	g.Expect(guard.Order(t.Context(), load("3", 8))).To(Succeed(), "once known, the table isn't needed")
}

// The router that ordered gives up waiting while the engine still works on its
// order. The guard must keep the turn, or the next holder's order could be
// carried out first.
func TestCallerGoneTurnKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := &gatedEngine{gates: map[uint64]chan struct{}{1: make(chan struct{}), 2: make(chan struct{})}}
		close(e.gates[2])
		guard := NewGuard(GuardOptions{Engine: e, ReadFence: constant(1)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() { _ = guard.Order(ctx, load("1", 1)) }()
		synctest.Wait()
		go func() { _ = guard.Order(t.Context(), load("2", 2)) }()
		time.Sleep(5 * time.Second)
		g.Expect(e.effects).To(BeEmpty())
		close(e.gates[1])
		synctest.Wait()
		g.Expect(e.effects).To(Equal([]uint64{1, 2}))
	})
}

func TestErrorsSurviveTheWire(t *testing.T) {
	g := NewWithT(t)
	var tableErr error
	e := &fakeEngine{checks: true}
	guard := NewGuard(GuardOptions{Engine: e, ReadFence: func(context.Context) (uint64, error) { return 3, tableErr }})
	c := NewClient(func(string) orderpb.Orders { return NewServer(guard) })
	tableErr = backing.ErrThrottled
	g.Expect(c.Order(t.Context(), "x", load("1", 3))).To(MatchError(ErrFenceUnknown))
	tableErr = nil
	g.Expect(c.Order(t.Context(), "x", load("1", 3))).To(Succeed())
	g.Expect(c.Order(t.Context(), "x", load("1", 2))).To(MatchError(engine.ErrStaleFence))
	g.Expect(c.Loaded(t.Context(), "x")).To(Equal([]engine.Loaded{{Kind: engine.OrderLoadModel, Name: "pear", Version: "1"}}))
}
