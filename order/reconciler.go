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

	// parallelReads limits how many sidecars are read concurrently.
	parallelReads = 32
)

// Sidecar is the client of the sidecars beside backend servers.
type Sidecar interface {
	Order(ctx context.Context, addr string, o engine.Order) error
	Loaded(ctx context.Context, addr string) ([]engine.Loaded, error)
}

// Lease tells whether this process holds the lease, with which fencing number and
// until when. *lease.Keeper implements it.
type Lease interface {
	Held() (fence uint64, until time.Time, ok bool)
}

// Options configures a Reconciler. Zero values take the defaults.
type Options struct {
	Lease        Lease           // required
	Sidecar      Sidecar         // required
	Weights      backing.Weights // required
	Desired      func() []Target // required; targets of the current configuration
	Interval     time.Duration   // between passes
	CallTimeout  time.Duration   // of one call to a sidecar or the weight store
	LoadTimeout  time.Duration   // after which a load that the engine doesn't report as loaded is ordered again
	LoadingShare float64         // share of a service's reachable backend servers that may load at once; at least one may
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

// Reconciler compares the target of each backend server with what its engine has
// loaded, and orders the difference while this process holds the lease. Apart from
// wake and dump, only Run's goroutine uses its fields.
type Reconciler struct {
	opts    Options
	metrics *metrics
	wake    chan struct{}

	fence          uint64               // of the hold that the fields below belong to
	loading        map[string]time.Time // by address: when a load was ordered that the engine doesn't report as loaded yet
	reached        map[string]string    // by address: fingerprint of the target that was reached
	reportedAbsent map[Artefact]bool    // EventArtefactUnavailable was emitted, and the store hasn't had it since
	dump           snapshot
}

// New returns a reconciler. It does nothing until Run is called.
func New(opts Options) *Reconciler {
	r := &Reconciler{opts: opts.withDefaults(), metrics: newMetrics(opts.Registerer), wake: make(chan struct{}, 1)}
	r.reset(0)
	return r
}

// reset clears the state of an earlier hold of the lease.
func (r *Reconciler) reset(fence uint64) {
	r.fence = fence
	r.loading = make(map[string]time.Time)
	r.reached = make(map[string]string)
	r.reportedAbsent = make(map[Artefact]bool)
}

// Wake starts a pass without waiting for the interval, after a change of the
// configuration.
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

// pass reads every backend server and sends the orders that are needed. Reading
// would not need the lease, but only its holder does it, to keep the load on
// sidecars low.
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
	servers := r.readAll(ctx, r.opts.Desired())
	p := &pass{Reconciler: r, ctx: ctx, capacity: r.loadCapacity(servers), available: make(map[Artefact]bool)}
	for i := range servers {
		if !p.sendOrders(&servers[i]) {
			break
		}
	}
	r.publish(servers)
}
