package node

import (
	"context"
	"fmt"
	"net"
	"slices"

	"github.com/oklog/run"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/claim"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/lease"
	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/order"
	"github.com/pearyard/pearyard/router"
	orderpb "github.com/pearyard/pearyard/rpc/order"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

// RouterOptions configures a router process.
type RouterOptions struct {
	Common
	Callers    net.Listener // serves callers
	Admin      net.Listener // serves operators; nil: no administration API
	AdminToken string
	Policy     string // routing policy; empty: the default
}

// Router is one router process.
type Router struct {
	*base
	opts        RouterOptions
	router      *router.Router
	limiter     *limit.Limiter
	claims      *claim.Coordinator
	admin       *admin.Server // nil if there is no Admin listener
	leaseKeeper *lease.Keeper
	orders      *order.Reconciler
	usage       usageExchange
}

// NewRouter assembles a router; Run starts it.
func NewRouter(opts RouterOptions) (*Router, error) {
	b, err := newBase(opts.Common, types.RoleRouter, "")
	if err != nil {
		return nil, err
	}
	r := &Router{base: b, opts: opts}
	r.newLimits()
	r.newRouter()
	r.newOrders()
	if err := r.newAdmin(); err != nil {
		return nil, err
	}
	b.inspect.Add("router", r.router.Dump)
	b.inspect.Add("orders", func() any { return r.orders.Dump() })
	b.inspect.Add("lease", func() any { return r.leaseKeeper.Dump() })
	b.inspect.Add(inspect.SectionDrain, func() any { return r.router.Drain() })
	server := streampb.NewRouterServer(routerService{r})
	b.mux.Handle(server.PathPrefix(), server)
	return r, nil
}

func (r *Router) newRouter() {
	client := r.peer.Client()
	r.claims = claim.New(claim.Options{
		Table: r.opts.Platform.Table, Router: r.opts.ID, Sidecar: router.NewSidecarClient(client),
		Recorder: r.recorder, Registerer: r.registry,
	})
	r.router = router.New(router.Options{
		Peer: r.peer, Zone: r.opts.Zone, Policy: r.opts.Policy,
		Text: r.currentConfig, Fresh: r.isFresh, Members: r.members.Snapshot, Changed: r.viewChanges,
		MarkLeaving: func(id types.ProcessID) { r.members.MarkLeaving(id) },
		Limiter:     r.limiter, Claims: r.claims, Suspects: r.suspects, Grants: r.gossiper,
		Recorder: r.recorder, Registerer: r.registry,
	})
}

func (r *Router) newOrders() {
	r.leaseKeeper = lease.New(lease.Options{
		Table: r.opts.Platform.Table, Name: ordersLease, Holder: fmt.Sprintf("%s@%d", r.opts.ID, r.peer.Self().Incarnation), Candidate: r.isLeaseCandidate,
		Recorder: r.recorder, Registerer: r.registry,
	})
	client := r.peer.Client()
	r.orders = order.New(order.Options{
		Lease: r.leaseKeeper,
		Sidecar: order.NewClient(func(addr string) orderpb.Orders {
			return orderpb.NewOrdersProtobufClient("http://"+addr, client)
		}),
		Weights: r.opts.Platform.Weights, Desired: r.desiredArtefacts,
		Recorder: r.recorder, Registerer: r.registry,
	})
}

// leaseCandidates is how many routers compete for a lease, so that hundreds of them don't
// keep reading its row.
const leaseCandidates = 5

// isLeaseCandidate reports whether this router is among those that compete for the lease.
func (r *Router) isLeaseCandidate() bool {
	var sites []tokenlog.Site
	for _, m := range r.routers() {
		sites = append(sites, tokenlog.Site{Address: m.Address, Zone: m.Zone})
	}
	key := types.KeyOf("", ordersLease)
	return slices.Contains(tokenlog.Place(key, sites, leaseCandidates, ""), r.Address())
}

// viewChanges returns channels that are closed when the router must rebuild its view.
func (r *Router) viewChanges() []<-chan struct{} {
	return []<-chan struct{}{r.holder.Changed(), r.members.Changed()}
}

// CallersAddress returns the address at which callers reach this router.
func (r *Router) CallersAddress() string { return r.opts.Callers.Addr().String() }

// Address returns the address at which other processes reach this one.
func (r *Router) Address() string { return r.peer.Self().Address }

// Run serves until ctx ends or the router is told to stop, then drains.
func (r *Router) Run(ctx context.Context) error {
	var group run.Group
	// The callers' server ends first: while its responses are sent, the other servers
	// still report the progress.
	addServer(&group, r.opts.Callers, r.router.Handler(), r.responseTimeout, r.recorder)
	addServer(&group, r.opts.Peers, r.peerHandler(nil), shortResponseTimeout, r.recorder)
	if r.admin != nil {
		addServer(&group, r.opts.Admin, r.admin.Handler(), shortResponseTimeout, r.recorder)
	}
	r.addActors(&group)
	addActor(&group, r.router.Run)
	addActor(&group, r.limiter.Run)
	addActor(&group, r.claims.Run)
	addActor(&group, r.leaseKeeper.Run)
	addActor(&group, r.orders.Run)
	addActor(&group, r.exchangeUsage)
	addActor(&group, r.followConfig(r.applyConfig))
	addActor(&group, func(actorCtx context.Context) error { return r.waitDrained(ctx, actorCtx) })
	return group.Run()
}

// waitDrained waits for a planned stop, requested by ctx or over the network, and returns
// when no request is in flight any more, or when actorCtx ends.
func (r *Router) waitDrained(ctx, actorCtx context.Context) error {
	select {
	case <-ctx.Done():
		r.beginDrain("signal")
	case <-r.router.Stopping():
	case <-actorCtx.Done():
		return nil
	}
	drain, cancel := r.drainContext(actorCtx)
	defer cancel()
	if err := r.router.Drained(drain); err != nil {
		return err
	}
	r.waitLeaveAnnounced(drain)
	return nil
}

func (r *Router) beginDrain(reason string) {
	r.router.BeginDrain(reason)
	r.announceLeave()
}

// applyConfig passes a new configuration to the parts that keep data derived from it.
func (r *Router) applyConfig(snapshot *config.Snapshot) {
	limits := make([]limit.OrganisationLimits, 0, len(snapshot.Config.Organisations))
	for i := range snapshot.Config.Organisations {
		o := &snapshot.Config.Organisations[i]
		limits = append(limits, limit.OrganisationLimits{
			Name: types.Organisation(o.Name), Weight: float64(o.Weight),
			RequestsPerSecond: o.Limits.RequestsPerSecond, Burst: o.Limits.Burst,
			Concurrent: o.Limits.Concurrent, Queued: queueLimit(o.Limits.Queued), Priority: o.Priority,
		})
	}
	r.limiter.Apply(limits)
	r.members.AnnounceRevision()
	r.orders.Wake()
}

// defaultQueueLimit is the queue limit of an organisation whose configuration sets none:
// long enough that fair sharing takes effect, and short enough to be worked off within a
// deadline.
const defaultQueueLimit = 1024

// queueLimit converts the limit of a configuration, where 0 means none is set, to that of
// the limiter, where 0 means no queue.
func queueLimit(configured int) int {
	if configured == 0 {
		return defaultQueueLimit
	}
	return configured
}

// routerService implements streampb.Router.
type routerService struct{ r *Router }

// Stop begins a planned stop and returns the number of requests in flight.
func (s routerService) Stop(_ context.Context, req *streampb.StopRequest) (*streampb.StopResponse, error) {
	s.r.beginDrain(req.GetReason())
	return &streampb.StopResponse{InFlight: uint32(s.r.router.Streams())}, nil
}

// Usage returns this router's usage of the organisations' limits.
func (s routerService) Usage(context.Context, *streampb.UsageRequest) (*streampb.UsageReport, error) {
	return s.r.usage.toWire(), nil
}

func (r *Router) routers() []membership.Member {
	return r.members.Snapshot().Alive(types.RoleRouter)
}
