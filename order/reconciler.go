package order

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
)

// Defaults of a Reconciler.
const (
	DefaultInterval     = 5 * time.Second
	DefaultCallTimeout  = 3 * time.Second
	DefaultLoadTimeout  = 5 * time.Minute
	DefaultLoadingShare = 0.25

	// parallelReads bounds how many sidecars are asked at once.
	parallelReads = 32
)

// Sidecar reaches the sidecars beside backend servers.
type Sidecar interface {
	Order(ctx context.Context, addr string, o engine.Order) error
	Loaded(ctx context.Context, addr string) ([]engine.Loaded, error)
}

// Lease tells whether this process may act; *lease.Keeper is one.
type Lease interface {
	Held() (fence uint64, until time.Time, ok bool)
}

// Options configures a Reconciler. Zero values take the defaults.
type Options struct {
	Lease        Lease           // required
	Sidecar      Sidecar         // required
	Weights      backing.Weights // required
	Desired      func() []Target // required; what the text in force asks now
	Interval     time.Duration   // between passes
	CallTimeout  time.Duration   // of one call to a sidecar
	LoadTimeout  time.Duration   // an order whose effect doesn't show is sent again after this
	LoadingShare float64         // of a service's reachable backend servers that may load at once; at least one may
	Recorder     *event.Recorder
	Registerer   prometheus.Registerer
}

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.LoadTimeout == 0 {
		o.LoadTimeout = DefaultLoadTimeout
	}
	if o.LoadingShare == 0 {
		o.LoadingShare = DefaultLoadingShare
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	return o
}

// Reconciler compares what the text asks of each backend server with what its
// engine serves and orders the difference, while this process holds the lease.
// Only Run's goroutine uses its fields, but for the dump.
type Reconciler struct {
	opts    Options
	metrics *metrics
	wake    chan struct{}

	fence   uint64               // of the hold that the fields below belong to
	loading map[string]time.Time // by address: when it was ordered to load what doesn't show yet
	settled map[string]string    // by address: the target that it was seen to meet
	absent  map[Artefact]bool    // told as unavailable already
	dump    snapshot
}

// New returns a reconciler; Run makes it act.
func New(opts Options) *Reconciler {
	r := &Reconciler{opts: opts.withDefaults(), metrics: newMetrics(opts.Registerer), wake: make(chan struct{}, 1)}
	r.reset(0)
	return r
}

// reset forgets what was known under an earlier hold.
func (r *Reconciler) reset(fence uint64) {
	r.fence = fence
	r.loading = make(map[string]time.Time)
	r.settled = make(map[string]string)
	r.absent = make(map[Artefact]bool)
}

// Wake starts a pass now: the text has changed.
func (r *Reconciler) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run makes a pass every interval until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(r.opts.Interval)
	defer tick.Stop()
	for {
		r.pass(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.wake:
		}
	}
}

// pass looks at every backend server and orders what is due. Looking needs no
// lease but only the holder acts, so that others don't load the sidecars.
func (r *Reconciler) pass(ctx context.Context) {
	fence, _, ok := r.opts.Lease.Held()
	if !ok {
		r.reset(0)
		r.publish(nil)
		return
	}
	if fence != r.fence {
		r.reset(fence)
	}
	views := r.look(ctx, r.opts.Desired())
	p := &pass{Reconciler: r, ctx: ctx, room: r.room(views), available: make(map[Artefact]bool)}
	for i := range views {
		if !p.serve(&views[i]) {
			break
		}
	}
	r.publish(views)
}
