package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

// refreshInterval bounds how long the views lag behind text and members when
// no change was signalled.
const refreshInterval = 250 * time.Millisecond

// Options configure a Router.
type Options struct {
	Peer    *peer.Peer
	Zone    types.Zone
	Policy  string                   // routing policy; empty: route.DefaultPolicy
	Text    func() *text.Config      // text in force; nil: none yet
	Fresh   func() bool              // false: cut off from the configuration for too long
	Members func() *membership.View  // may return nil
	Changed func() []<-chan struct{} // closed when text or members change
	// MarkLeaving tells the members that a process said it is leaving; may be nil.
	MarkLeaving func(types.ProcessID)
	Limiter     *limit.Limiter     // nil: no limits
	Claims      *claim.Coordinator // nil: no non-idempotent calls
	Suspects    *suspect.Ledger    // nil: no quarantine
	Grants      *suspect.Gossiper  // gives suspects their one run; nil: each router for itself
	Recorder    *event.Recorder
	Registerer  prometheus.Registerer
}

// Router serves callers on one entry VM.
type Router struct {
	opts     Options
	client   *http.Client
	sidecars sidecars
	journal  *tokenlog.Reader
	fleet    *fleet
	metrics  *metrics
	looks    *rate.Limiter // looks for earlier tries of refused calls
	created  time.Time

	refreshing sync.Mutex // held while views are built of the text in force

	draining  atomic.Bool
	drainedAt atomic.Int64  // when the drain began, in Unix nanoseconds; 0: not yet
	stopping  chan struct{} // closed when the drain begins
	begun     sync.Map      // *admitted in flight, for the drain's progress
	drained   chan struct{} // closed when draining and nothing is in flight
	idle      sync.Once     // closes drained
	streams   atomic.Int64  // requests in flight
}

// New returns a router; Run must be running for it to know its backend servers.
func New(opts Options) *Router {
	if opts.Policy == "" {
		opts.Policy = route.DefaultPolicy
	}
	client := opts.Peer.Client()
	calls := sidecars{http: client}
	r := &Router{
		opts:     opts,
		client:   client,
		sidecars: calls,
		journal:  tokenlog.NewReader(tokenlog.ReaderOptions{Client: calls}),
		fleet:    newFleet(opts.Peer.Self().ID, opts.Policy, opts.Recorder, opts.Registerer),
		looks:    rate.NewLimiter(looksPerSecond, looksPerSecond),
		stopping: make(chan struct{}),
		drained:  make(chan struct{}),
		created:  time.Now(),
	}
	r.metrics = newMetrics(opts.Registerer, func() float64 { return float64(r.streams.Load()) })
	return r
}

// Run keeps the views of the backend servers up to date until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	r.opts.Recorder.Emit(eventStarted, "zone", r.opts.Zone, "policy", r.opts.Policy)
	for {
		changed := r.opts.Changed()
		if err := r.Refresh(); err != nil {
			return err
		}
		if err := waitAny(ctx, changed, refreshInterval); err != nil {
			return err
		}
	}
}

// Capacity returns how many requests all backend servers in use can batch.
func (r *Router) Capacity() int {
	total := 0
	for _, sf := range *r.fleet.services.Load() {
		for _, c := range sf.view.Load().Candidates() {
			total += c.Capacity
		}
	}
	return total
}

// LoadOf returns the newest load report of a backend server and how many of
// this router's requests run there; false if it is no candidate.
func (r *Router) LoadOf(backendServer string) (*types.Load, int, bool) {
	for _, sf := range *r.fleet.services.Load() {
		c, ok := sf.view.Load().Find(types.ProcessID(backendServer))
		if !ok {
			continue
		}
		running, at := c.Stats.Reported()
		if at.IsZero() {
			return nil, c.Stats.InFlight(), true
		}
		return &types.Load{Running: running, Capacity: c.Capacity, At: at}, c.Stats.InFlight(), true
	}
	return nil, 0, false
}

// Refresh rebuilds the views from the text and the members now.
func (r *Router) Refresh() error {
	r.refreshing.Lock()
	defer r.refreshing.Unlock()
	return r.refresh()
}

// refresh reads the text while it holds refreshing: views of an older text never
// replace those of a newer one.
func (r *Router) refresh() error {
	in := r.opts.Text()
	if in == nil {
		return nil
	}
	return r.fleet.rebuild(in, r.opts.Members(), time.Now())
}

// service returns a service of the text; nil if its views can't be built.
//
// Failure it stops: a text is in force a moment before Run has joined it with
// the members. A caller who came in between was refused with "not run", also one
// whose call had run under its key before. The views are therefore built here
// for the first caller; the others wait for the same.
func (r *Router) service(name string) *serviceFleet {
	if sf := r.fleet.service(name); sf != nil {
		return sf
	}
	r.refreshing.Lock()
	defer r.refreshing.Unlock()
	if sf := r.fleet.service(name); sf != nil {
		return sf
	}
	if err := r.refresh(); err != nil {
		r.opts.Recorder.Emit(eventViewsFailed, "service", name, "err", err)
	}
	return r.fleet.service(name)
}

// waitAny returns when one of the first two channels is closed, or after bound.
func waitAny(ctx context.Context, changed []<-chan struct{}, bound time.Duration) error {
	var first, second <-chan struct{}
	if len(changed) > 0 {
		first = changed[0]
	}
	if len(changed) > 1 {
		second = changed[1]
	}
	timer := time.NewTimer(bound)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-first:
	case <-second:
	case <-timer.C:
	}
	return nil
}

// sites lists the sidecars that may hold journals.
func (r *Router) sites() []tokenlog.Site {
	members := r.opts.Members()
	if members == nil {
		return nil
	}
	return Sites(members, r.opts.Text(), time.Since(r.created))
}

// meetTime is how long a process that has started goes by the text for sidecars
// that it hasn't met; later, who isn't met isn't there.
const meetTime = 10 * time.Second

// Sites lists the sidecars that journals are placed on: those that are alive,
// and at first those that the text names and membership hasn't met yet; age is
// that of this process. Routers and sidecars must use the same rule, or they
// look for a journal where it isn't.
//
// Failure it stops: a sidecar that has just started knows no other member for a
// moment, and a generation that begins then gets no journal peer for its whole
// life. It shows as journal_no_peer, and as generation_lost when its VM and its
// router die. The text names the other sidecars before the first probe.
func Sites(members *membership.View, in *text.Config, age time.Duration) []tokenlog.Site {
	alive := members.Alive(types.RoleSidecar)
	out := make([]tokenlog.Site, 0, len(alive))
	for _, m := range alive {
		out = append(out, tokenlog.Site{Address: m.Address, Zone: m.Zone})
	}
	if in == nil || age > meetTime {
		return out
	}
	for i := range in.Services {
		for _, b := range in.Services[i].BackendServers {
			if _, met := members.ByAddress(b.Sidecar); !met {
				out = append(out, tokenlog.Site{Address: b.Sidecar, Zone: types.Zone(b.Zone)})
			}
		}
	}
	return out
}

// reachable reports whether membership has nothing against the sidecar at addr.
func (r *Router) reachable(addr string) bool {
	members := r.opts.Members()
	if members == nil {
		return true
	}
	m, ok := members.ByAddress(addr)
	return !ok || m.State != membership.StateDead
}
