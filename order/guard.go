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

// ErrFenceUnknown: the sidecar has restarted and couldn't read the lease row,
// so it can't tell an old holder's order from a new one's. Nothing was sent.
var ErrFenceUnknown = errors.New("order: fencing number unknown")

// Engine is the part of an engine that takes orders.
type Engine interface {
	Order(ctx context.Context, order engine.Order) error
	Loaded(ctx context.Context) ([]engine.Loaded, error)
}

// FenceReader reads the lease row's current fencing number; 0 if there has
// never been a holder. lease.ReadFence is one.
type FenceReader func(ctx context.Context) (uint64, error)

// GuardOptions configures a Guard.
type GuardOptions struct {
	Engine        Engine
	ReadFence     FenceReader
	EngineTimeout time.Duration // how long an engine may take to answer an order
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
}

// DefaultEngineTimeout is GuardOptions.EngineTimeout where none is set.
const DefaultEngineTimeout = time.Minute

// Guard passes orders to one engine, in one at a time, and refuses those of
// holders that have been replaced, also where the engine ignores the number.
type Guard struct {
	opts    GuardOptions
	results *prometheus.CounterVec

	turn chan struct{} // held while an order is with the engine

	mu      sync.Mutex // guards highest and known
	highest uint64
	known   bool
}

// NewGuard returns a guard that has seen no number yet.
func NewGuard(opts GuardOptions) *Guard {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.EngineTimeout == 0 {
		opts.EngineTimeout = DefaultEngineTimeout
	}
	g := &Guard{opts: opts, turn: make(chan struct{}, 1), results: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pearyard_order_guard_total", Help: "Orders that reached the sidecar, by what became of them."}, []string{"result"})}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(g.results)
	}
	return g
}

// Order passes an order on, or returns engine.ErrStaleFence or ErrFenceUnknown
// with nothing sent.
func (g *Guard) Order(ctx context.Context, o engine.Order) error {
	select {
	case g.turn <- struct{}{}:
		defer func() { <-g.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
	err := g.order(ctx, o)
	g.results.WithLabelValues(resultOf(err)).Inc()
	return err
}

func (g *Guard) order(ctx context.Context, o engine.Order) error {
	if err := g.learn(ctx); err != nil {
		g.opts.Recorder.Emit(EventFenceUnknown, "kind", o.Kind, "name", o.Name, "fence", o.Fence, "error", err)
		return errors.Wrap(ErrFenceUnknown, err.Error())
	}
	if highest, ok := g.admit(o.Fence); !ok {
		g.opts.Recorder.Emit(EventStaleOrder, "kind", o.Kind, "name", o.Name, "fence", o.Fence, "highest", highest)
		return engine.ErrStaleFence
	}
	return g.send(ctx, o)
}

// send waits for the engine's answer also when the caller has gone: were the
// turn given up with the order still in the engine's hands, a later holder's
// order could be carried out before it. It shows as an old version loaded after
// the new one. EngineTimeout ends the wait, since an engine that hangs must not
// keep later orders out for ever; package doc, case 6, says what then remains.
func (g *Guard) send(ctx context.Context, o engine.Order) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.opts.EngineTimeout)
	defer cancel()
	return g.opts.Engine.Order(ctx, o)
}

// learn stops a replaced holder's order after this sidecar has restarted: it
// would pass as the first number ever seen. The lease row's number is at least
// that of every order sent before, so nothing older gets by.
func (g *Guard) learn(ctx context.Context) error {
	if g.isKnown() {
		return nil
	}
	fence, err := g.opts.ReadFence(ctx)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known = true
	g.highest = max(g.highest, fence)
	return nil
}

func (g *Guard) isKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known
}

// admit notes the number before the order goes out: if the answer is lost the
// order may have taken effect, and an older one must not follow it.
func (g *Guard) admit(fence uint64) (highest uint64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fence < g.highest {
		return g.highest, false
	}
	g.highest = fence
	return fence, true
}

// Loaded reads back what the engine serves.
func (g *Guard) Loaded(ctx context.Context) ([]engine.Loaded, error) {
	return g.opts.Engine.Loaded(ctx)
}

// GuardDump is the state of a Guard.
type GuardDump struct {
	HighestFence uint64 `json:"highest_fence"`
	Known        bool   `json:"known"` // false: the lease row is read before the next order
}

// Dump returns the guard's state.
func (g *Guard) Dump() GuardDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GuardDump{HighestFence: g.highest, Known: g.known}
}

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
