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

// A lease holder is paused after its last check of the lease, its successor orders
// version 2, and then the first holder's order for version 1 arrives. Version 2 must
// stay loaded, whether or not the engine checks fencing numbers.
func TestOrderOfAReplacedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		g := NewWithT(t)
		e := &fakeEngine{checks: checks}
		guard := NewGuard(GuardOptions{Engine: e, ReadFence: fixedFence(7)})
		g.Expect(guard.Order(t.Context(), load("2", 8))).To(Succeed())
		g.Expect(guard.Order(t.Context(), load("1", 7))).To(MatchError(engine.ErrStaleFence))
		g.Expect(e.versions()).To(Equal([]string{"pear@2"}))
		g.Expect(guard.opts.Recorder.Entries("")[0].ID).To(Equal("PY3121"))
	}
}

// The same order sent to the engine without the sidecar: an engine that checks
// refuses it; on one that ignores the number, the stale order takes effect.
func TestBypassingTheSidecar(t *testing.T) {
	g := NewWithT(t)
	checks, ignores := &fakeEngine{checks: true}, &fakeEngine{}
	for _, e := range []*fakeEngine{checks, ignores} {
		g.Expect(NewGuard(GuardOptions{Engine: e, ReadFence: fixedFence(8)}).Order(t.Context(), load("2", 8))).To(Succeed())
	}
	g.Expect(checks.Order(t.Context(), load("1", 7))).To(MatchError(engine.ErrStaleFence))
	g.Expect(ignores.Order(t.Context(), load("1", 7))).To(Succeed())
	g.Expect(ignores.versions()).To(Equal([]string{"pear@1"}), "if this fails, case 7 of the package documentation is out of date")
}

// The sidecar restarts between the new holder's order and the old one's while the
// table service is unavailable. It can't tell them apart and must refuse both.
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
	g.Expect(e.orderCount()).To(Equal(1))
	tableErr = backing.ErrUnavailable
	g.Expect(guard.Order(t.Context(), load("3", 8))).To(Succeed(), "once the number is known, the table isn't needed")
}

// The router stops waiting while the engine still executes its order. The guard
// must not pass another order before the engine has answered, or the next holder's
// order could be executed first.
func TestCancelledCallerDoesNotAdmitTheNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := &gatedEngine{gates: map[uint64]chan struct{}{1: make(chan struct{}), 2: make(chan struct{})}}
		close(e.gates[2])
		guard := NewGuard(GuardOptions{Engine: e, ReadFence: fixedFence(1)})
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

// The client must return the guard's errors, since a Reconciler ends its pass after
// ErrStaleFence.
func TestErrorsAreKeptOverRPC(t *testing.T) {
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
