package order

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

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

// view is one backend server as this pass sees it.
type view struct {
	target    Target
	loaded    []engine.Loaded
	reachable bool
	orders    []engine.Order // due; empty if it meets its target
}

// look reads what all engines serve.
func (r *Reconciler) look(ctx context.Context, targets []Target) []view {
	views := make([]view, len(targets))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for i, t := range targets {
		group.Go(func() error {
			views[i] = r.read(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
	for i := range views {
		r.note(&views[i])
	}
	return views
}

func (r *Reconciler) read(ctx context.Context, t Target) view {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	loaded, err := r.opts.Sidecar.Loaded(ctx, t.Address)
	if err != nil {
		return view{target: t}
	}
	return view{target: t, loaded: loaded, reachable: true, orders: plan(t, loaded)}
}

// note compares with earlier passes: a server that met this target and no
// longer does was ordered by somebody else, or restarted.
func (r *Reconciler) note(v *view) {
	if !v.reachable {
		return
	}
	addr, want := v.target.Address, fingerprint(v.target)
	if len(v.orders) == 0 {
		r.settled[addr] = want
		delete(r.loading, addr)
		return
	}
	if r.settled[addr] == want {
		r.opts.Recorder.Emit(EventOvertaken, "backend_server", addr, "fence", r.fence, "order", describe(v.orders[0]))
		delete(r.loading, addr)
	}
	delete(r.settled, addr)
}

// room returns how many more backend servers of each service may begin to load.
func (r *Reconciler) room(views []view) map[string]int {
	reachable, busy := map[string]int{}, map[string]int{}
	for _, v := range views {
		if !v.reachable {
			continue
		}
		reachable[v.target.Service]++
		if r.isLoading(v.target.Address) {
			busy[v.target.Service]++
		}
	}
	room := make(map[string]int, len(reachable))
	for service, n := range reachable {
		room[service] = max(1, int(r.opts.LoadingShare*float64(n))) - busy[service]
	}
	return room
}

func (r *Reconciler) isLoading(addr string) bool {
	since, ok := r.loading[addr]
	return ok && time.Since(since) < r.opts.LoadTimeout
}

// pass is what one pass has left to give.
type pass struct {
	*Reconciler
	ctx       context.Context
	room      map[string]int
	available map[Artefact]bool
}

// serve sends a server's orders; false ends the pass, since this process may no
// longer act.
func (p *pass) serve(v *view) bool {
	if len(v.orders) == 0 || p.isLoading(v.target.Address) {
		return true
	}
	heavy := slices.ContainsFunc(v.orders, loads)
	if heavy && p.room[v.target.Service] <= 0 {
		return true
	}
	for _, o := range v.orders {
		if loads(o) && !p.canFetch(o) {
			continue
		}
		if err := p.send(v.target.Address, o); err != nil {
			return !errors.Is(err, errNoLease) && !errors.Is(err, engine.ErrStaleFence)
		}
		if heavy && !p.isLoading(v.target.Address) {
			p.loading[v.target.Address] = time.Now()
			p.room[v.target.Service]--
		}
	}
	return p.readBack(v)
}

// canFetch asks the weight store once per pass and artefact: it is rate-limited,
// and an engine ordered to load what isn't there may drop what it serves.
func (p *pass) canFetch(o engine.Order) bool {
	a := Artefact{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if known, ok := p.available[a]; ok {
		return known
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.CallTimeout)
	defer cancel()
	there, err := p.opts.Weights.Available(ctx, o.Name, o.Version)
	p.available[a] = there && err == nil
	if err == nil && !there && !p.absent[a] {
		p.opts.Recorder.Emit(EventUnavailable, "name", o.Name, "version", o.Version)
	}
	if err == nil {
		p.absent[a] = !there
	}
	return p.available[a]
}

var errNoLease = errors.New("order: lease not held")

// send asks the lease again just before the order goes out, since the pass may
// have been paused since it began: a replaced holder's order would undo the new
// holder's. The call ends with the hold. What is paused between this look and
// the send is stopped by the fencing number (package doc, cases 2 and 3).
func (p *pass) send(addr string, o engine.Order) error {
	fence, until, ok := p.opts.Lease.Held()
	if !ok || fence != p.fence {
		p.opts.Recorder.Emit(EventLeaseGone, "backend_server", addr, "order", describe(o), "fence", p.fence)
		return errNoLease
	}
	ctx, cancel := context.WithDeadline(p.ctx, until)
	defer cancel()
	ctx, cancelCall := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancelCall()
	o.Fence = fence
	err := p.opts.Sidecar.Order(ctx, addr, o)
	p.metrics.orders.WithLabelValues(string(o.Kind), resultOf(err)).Inc()
	if err != nil {
		p.opts.Recorder.Emit(EventOrderFailed, "backend_server", addr, "order", describe(o), "fence", fence, "error", err)
		return err
	}
	p.opts.Recorder.Emit(EventOrdered, "backend_server", addr, "order", describe(o), "fence", fence)
	return nil
}

// readBack looks at the result. A larger number there means that another holder
// acts: this one stops, and that one's passes decide. An older order that came
// last shows as a difference in the next pass and is corrected by it.
func (p *pass) readBack(v *view) bool {
	after := p.read(p.ctx, v.target)
	if !after.reachable {
		return true
	}
	v.loaded, v.orders = after.loaded, after.orders
	if len(after.orders) == 0 {
		p.note(&after)
	}
	for _, l := range after.loaded {
		if l.Fence > p.fence {
			p.opts.Recorder.Emit(EventOvertaken, "backend_server", v.target.Address, "fence", p.fence, "by", l.Fence)
			return false
		}
	}
	return true
}
