package order

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
)

// ErrFenceUnknown reports that the sidecar has restarted and couldn't read the
// lease row, so that it can't tell whether an order is from the current lease
// holder. Nothing was sent to the engine.
var ErrFenceUnknown = errors.New("order: fencing number unknown")

// Engine is the part of an engine's interface that a Guard uses.
type Engine interface {
	Order(ctx context.Context, order engine.Order) error
	Loaded(ctx context.Context) ([]engine.Loaded, error)
}

// FenceReader reads the current fencing number from the lease row; 0 if the lease
// was never held. It is implemented with lease.ReadFence.
type FenceReader func(ctx context.Context) (uint64, error)

// GuardOptions configures a Guard.
type GuardOptions struct {
	Engine        Engine
	ReadFence     FenceReader
	EngineTimeout time.Duration // how long to wait for the engine's answer to an order
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
}

// DefaultEngineTimeout is the default of GuardOptions.EngineTimeout.
const DefaultEngineTimeout = time.Minute

// Guard passes orders to one engine, one at a time, and refuses those of lease
// holders that have been replaced, even if the engine ignores fencing numbers.
type Guard struct {
	opts    GuardOptions
	results *prometheus.CounterVec

	executing chan struct{} // semaphore, held while the engine executes an order

	mu           sync.Mutex // protects highestFence and fenceRead
	highestFence uint64     // of the orders admitted and the lease row
	fenceRead    bool       // the lease row was read since this sidecar started
}

// NewGuard returns a guard that has not seen any fencing number yet.
func NewGuard(opts GuardOptions) *Guard {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.EngineTimeout == 0 {
		opts.EngineTimeout = DefaultEngineTimeout
	}
	g := &Guard{opts: opts, executing: make(chan struct{}, 1), results: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_order_guard_total", Help: "Orders that reached the sidecar, by what became of them."}, []string{"result"})}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(g.results)
	}
	return g
}

// Order passes an order to the engine. If it returns engine.ErrStaleFence or
// ErrFenceUnknown from the guard's own checks, nothing was sent.
func (g *Guard) Order(ctx context.Context, o engine.Order) error {
	select {
	case g.executing <- struct{}{}:
		defer func() { <-g.executing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	err := g.order(ctx, o)
	g.results.WithLabelValues(resultOf(err)).Inc()
	return err
}

func (g *Guard) order(ctx context.Context, o engine.Order) error {
	if err := g.loadFence(ctx); err != nil {
		g.opts.Recorder.Emit(EventFenceUnknown, "kind", o.Kind, "name", o.Name, "fence", o.Fence, "error", err)
		return errors.Wrap(ErrFenceUnknown, err.Error())
	}
	if highest, ok := g.admit(o.Fence); !ok {
		g.opts.Recorder.Emit(EventStaleOrder, "kind", o.Kind, "name", o.Name, "fence", o.Fence, "highest", highest)
		return engine.ErrStaleFence
	}
	return g.send(ctx, o)
}

// send waits for the engine's answer even if ctx is cancelled. If it released the
// semaphore while the engine still executes the order, a later holder's order
// could be executed first, and the old version would be loaded after the new one.
// EngineTimeout ends the wait, so that an engine that hangs doesn't block later
// orders for ever; case 6 of the package documentation describes what can happen
// then.
func (g *Guard) send(ctx context.Context, o engine.Order) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.opts.EngineTimeout)
	defer cancel()
	return g.opts.Engine.Order(ctx, o)
}

// loadFence reads the lease row before the first order. After a restart of this
// sidecar, a replaced holder's order would otherwise be accepted as the first
// one. The row's number is at least that of every order sent before, so that no
// older order is accepted.
func (g *Guard) loadFence(ctx context.Context) error {
	if g.hasReadFence() {
		return nil
	}
	fence, err := g.opts.ReadFence(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fenceRead = true
	g.highestFence = max(g.highestFence, fence)
	return nil
}

func (g *Guard) hasReadFence() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fenceRead
}

// admit records the fencing number before the order is sent: if the answer is
// lost, the order may have taken effect, and an older one must not follow it.
func (g *Guard) admit(fence uint64) (highest uint64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.highestFence {
		return g.highestFence, false
	}
	g.highestFence = fence
	return fence, true
}

// Loaded returns what the engine has loaded.
func (g *Guard) Loaded(ctx context.Context) ([]engine.Loaded, error) {
	return g.opts.Engine.Loaded(ctx)
}

// GuardDump is the state of a Guard.
type GuardDump struct {
	HighestFence uint64 `json:"highest_fence"`
	Known        bool   `json:"known"` // false: the lease row will be read before the next order
}

// Dump returns the guard's state.
func (g *Guard) Dump() GuardDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GuardDump{HighestFence: g.highestFence, Known: g.fenceRead}
}

// resultOf returns the value of the label "result" for an order that ended with
// err.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "passed"
	case errors.Is(err, engine.ErrStaleFence):
		return "stale"
	case errors.Is(err, ErrFenceUnknown):
		return "unknown"
	default:
		return "failed"
	}
}
