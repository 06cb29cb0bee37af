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

// refreshInterval bounds how long the views lag behind the configuration and the
// members when no change was signalled.
const refreshInterval = 250 * time.Millisecond

// Options configure a Router.
type Options struct {
	Peer    *peer.Peer
	Zone    types.Zone
	Policy  string                   // routing policy; default: route.DefaultPolicy
	Text    func() *text.Config      // configuration in force; nil: none yet
	Fresh   func() bool              // false: disconnected from the configuration for too long
	Members func() *membership.View  // may return nil
	Changed func() []<-chan struct{} // at most two; closed when the configuration or the members change
	// MarkLeaving reports a process that has said that it is leaving; may be nil.
	MarkLeaving func(types.ProcessID)
	Limiter     *limit.Limiter     // nil: no limits
	Claims      *claim.Coordinator // nil: at-most-once calls are refused
	Suspects    *suspect.Ledger    // nil: no quarantine
	Grants      *suspect.Gossiper  // grants runs of suspects across routers; nil: each router decides alone
	Recorder    *event.Recorder
	Registerer  prometheus.Registerer
}

// Router serves callers on one entry VM.
type Router struct {
	opts           Options
	client         *http.Client
	sidecars       sidecars
	journal        *tokenlog.Reader
	fleet          *fleet
	metrics        *metrics
	earlierLookups *rate.Limiter // limits lookups of earlier requests with the same key
	created        time.Time

	refreshMu sync.Mutex // held while views are built

	draining    atomic.Bool
	drainedAt   atomic.Int64  // when the drain began, in Unix nanoseconds; 0: not yet
	stopping    chan struct{} // closed when the drain begins
	inFlight    sync.Map      // set of *admittedRequest
	drained     chan struct{} // closed when draining and no request is in flight
	drainedOnce sync.Once     // closes drained
	streams     atomic.Int64  // requests in flight
}

// New returns a router. It knows its backend servers once Run or Refresh is called.
func New(opts Options) *Router {
	if opts.Policy == "" {
		opts.Policy = route.DefaultPolicy
	}
	client := opts.Peer.Client()
	sidecarCalls := sidecars{http: client}
	r := &Router{
		opts:           opts,
		client:         client,
		sidecars:       sidecarCalls,
		journal:        tokenlog.NewReader(tokenlog.ReaderOptions{Client: sidecarCalls}),
		fleet:          newFleet(opts.Peer.Self().ID, opts.Policy, opts.Recorder, opts.Registerer),
		earlierLookups: rate.NewLimiter(earlierLookupsPerSecond, earlierLookupsPerSecond),
		stopping:       make(chan struct{}),
		drained:        make(chan struct{}),
		created:        time.Now(),
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
		if err := waitForChange(ctx, changed, refreshInterval); err != nil {
			return err
		}
	}
}

// Capacity returns how many requests all backend servers in use can batch together.
func (r *Router) Capacity() int {
	total := 0
	for _, sf := range *r.fleet.services.Load() {
		for _, c := range sf.view.Load().Candidates() {
			total += c.Capacity
		}
	}
	return total
}

// LoadOf returns the latest load report of a backend server, which may be nil, and
// how many of this router's requests run there. It returns false if the server is
// no candidate.
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

// Refresh rebuilds the views from the current configuration and members.
func (r *Router) Refresh() error {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	return r.refresh()
}

// refresh requires refreshMu. The configuration is read under this lock, so that the
// views of an older configuration never replace those of a newer one.
func (r *Router) refresh() error {
	conf := r.opts.Text()
	if conf == nil {
		return nil
	}
	return r.fleet.rebuild(conf, r.opts.Members(), time.Now())
}

// service returns a service of the configuration, or nil if its views can't be
// built.
//
// A new configuration is in force shortly before Run has combined it with the
// members. A request that arrives in between must not be refused with "not run":
// an earlier request with its idempotency key may have run. The first such request
// therefore builds the views here, and others wait for it.
func (r *Router) service(name string) *serviceFleet {
	if sf := r.fleet.service(name); sf != nil {
		return sf
	}
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	if sf := r.fleet.service(name); sf != nil {
		return sf
	}
	if err := r.refresh(); err != nil {
		r.opts.Recorder.Emit(eventViewsFailed, "service", name, "err", err)
	}
	return r.fleet.service(name)
}

// waitForChange returns when one of the first two channels is closed, or after bound.
func waitForChange(ctx context.Context, changed []<-chan struct{}, bound time.Duration) error {
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

// journalSites lists the sidecars that may hold journals.
func (r *Router) journalSites() []tokenlog.Site {
	members := r.opts.Members()
	if members == nil {
		return nil
	}
	return JournalSites(members, r.opts.Text(), time.Since(r.created))
}

// membershipWarmup is how long after its start a process also uses sidecars that
// only the configuration names. After that, a sidecar that membership doesn't know
// is taken as absent.
const membershipWarmup = 10 * time.Second

// JournalSites lists the sidecars that journals are placed on: those that are alive, and
// during membershipWarmup also those that the configuration names and membership
// doesn't know yet; age is how long this process has run. Routers and sidecars must
// use the same rule to find each other's journals.
//
// A sidecar that has just started knows no other member. A generation that begins
// then would get no journal peer for its whole life (event journal_no_peer), and
// would be lost if its VM and its router died (event generation_lost). The
// configuration names the other sidecars before the first probe.
func JournalSites(members *membership.View, conf *text.Config, age time.Duration) []tokenlog.Site {
	alive := members.Alive(types.RoleSidecar)
	out := make([]tokenlog.Site, 0, len(alive))
	for _, m := range alive {
		out = append(out, tokenlog.Site{Address: m.Address, Zone: m.Zone})
	}
	if conf == nil || age > membershipWarmup {
		return out
	}
	for i := range conf.Services {
		for _, b := range conf.Services[i].BackendServers {
			if _, met := members.ByAddress(b.Sidecar); !met {
				out = append(out, tokenlog.Site{Address: b.Sidecar, Zone: types.Zone(b.Zone)})
			}
		}
	}
	return out
}

// maybeAlive returns false only if membership reports the sidecar at addr as dead.
func (r *Router) maybeAlive(addr string) bool {
	members := r.opts.Members()
	if members == nil {
		return true
	}
	m, ok := members.ByAddress(addr)
	return !ok || m.State != membership.StateDead
}
