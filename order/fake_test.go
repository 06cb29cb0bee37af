package order

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
)

var errDown = errors.New("connection refused")

// fakeEngine executes orders at once or after a delay. It refuses old fencing
// numbers only if checks is set.
type fakeEngine struct {
	mu      sync.Mutex
	checks  bool
	delay   time.Duration
	highest uint64
	loaded  []engine.Loaded
	orders  []engine.Order
}

func (e *fakeEngine) Order(_ context.Context, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.highest {
		return engine.ErrStaleFence
	}
	e.highest = max(e.highest, o.Fence)
	e.orders = append(e.orders, o)
	if e.delay == 0 {
		e.apply(o)
		return nil
	}
	time.AfterFunc(e.delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.apply(o)
	})
	return nil
}

func (e *fakeEngine) apply(o engine.Order) {
	e.loaded = slices.DeleteFunc(e.loaded, func(l engine.Loaded) bool {
		return l.Name == o.Name && (o.Kind != engine.OrderUnload || l.Version == o.Version)
	})
	if o.Kind != engine.OrderUnload {
		e.loaded = append(e.loaded, engine.Loaded{Kind: o.Kind, Name: o.Name, Version: o.Version})
	}
}

func (e *fakeEngine) Loaded(context.Context) ([]engine.Loaded, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loaded), nil
}

func (e *fakeEngine) versions() []string {
	loaded, _ := e.Loaded(context.Background())
	var out []string
	for _, l := range loaded {
		out = append(out, l.Name+"@"+l.Version)
	}
	return out
}

func (e *fakeEngine) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// fakeSidecars delivers to guards by address. An order to a paused address stays
// in transit until the pause ends.
type fakeSidecars struct {
	mu     sync.Mutex
	guards map[string]*Guard
	pause  map[string]chan struct{}
	down   map[string]bool
}

func (f *fakeSidecars) guard(addr string) (*Guard, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[addr] || f.guards[addr] == nil {
		return nil, nil, errDown
	}
	return f.guards[addr], f.pause[addr], nil
}

func (f *fakeSidecars) Order(ctx context.Context, addr string, o engine.Order) error {
	g, pause, err := f.guard(addr)
	if err != nil {
		return err
	}
	if pause != nil {
		<-pause
		ctx = context.WithoutCancel(ctx) // the order is in transit and arrives even if the caller has left
	}
	return g.Order(ctx, o)
}

func (f *fakeSidecars) Loaded(ctx context.Context, addr string) ([]engine.Loaded, error) {
	g, _, err := f.guard(addr)
	if err != nil {
		return nil, err
	}
	return g.Loaded(ctx)
}

// fakeLease is a lease that a test grants for a term.
type fakeLease struct {
	mu    sync.Mutex
	fence uint64
	until time.Time
}

func (l *fakeLease) grant(fence uint64, term time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fence, l.until = fence, time.Now().Add(term)
}

func (l *fakeLease) Held() (uint64, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.until, l.fence != 0 && time.Now().Before(l.until)
}

// fakeWeights is a weight store that has every version except those in lacks.
type fakeWeights struct {
	mu       sync.Mutex
	lacks    map[string]bool // by name@version
	requests int
}

func (w *fakeWeights) Available(_ context.Context, name, version string) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
	return !w.lacks[name+"@"+version], nil
}

func load(version string, fence uint64) engine.Order {
	return engine.Order{Kind: engine.OrderLoadModel, Name: "pear", Version: version, Fence: fence}
}

func fixedFence(fence uint64) FenceReader {
	return func(context.Context) (uint64, error) { return fence, nil }
}
