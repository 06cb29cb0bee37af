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

// RouterOptions configure a router process.
type RouterOptions struct {
	Common
	Callers    net.Listener // for callers
	Admin      net.Listener // for operators; nil: no administration API
	AdminToken string
	Policy     string // routing policy; empty: the default
}

// Router is one router process.
type Router struct {
	*base
	opts    RouterOptions
	router  *router.Router
	limiter *limit.Limiter
	claims  *claim.Coordinator
	admin   *admin.Server // nil without a listener for it
	keeper  *lease.Keeper
	orders  *order.Reconciler
	usage   usageExchange
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
	b.inspect.Add("lease", func() any { return r.keeper.Dump() })
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
		Text: r.text, Fresh: r.fresh, Members: r.members.Snapshot, Changed: r.changed,
		MarkLeaving: func(id types.ProcessID) { r.members.MarkLeaving(id) },
		Limiter:     r.limiter, Claims: r.claims, Suspects: r.suspects, Grants: r.news,
		Recorder: r.recorder, Registerer: r.registry,
	})
}

func (r *Router) newOrders() {
	r.keeper = lease.New(lease.Options{
		Table: r.opts.Platform.Table, Name: ordersLease, Holder: fmt.Sprintf("%s@%d", r.opts.ID, r.peer.Self().Incarnation), Candidate: r.leaseCandidate,
		Recorder: r.recorder, Registerer: r.registry,
	})
	client := r.peer.Client()
	r.orders = order.New(order.Options{
		Lease: r.keeper,
		Sidecar: order.NewClient(func(addr string) orderpb.Orders {
			return orderpb.NewOrdersProtobufClient("http://"+addr, client)
		}),
		Weights: r.opts.Platform.Weights, Desired: r.desired,
		Recorder: r.recorder, Registerer: r.registry,
	})
}

// leaseCandidates is how many routers wait for a lease, so that hundreds of
// them don't read its row all the time.
const leaseCandidates = 5

// leaseCandidate reports whether this router is among those that wait.
func (r *Router) leaseCandidate() bool {
	var sites []tokenlog.Site
	for _, m := range r.routers() {
		sites = append(sites, tokenlog.Site{Address: m.Address, Zone: m.Zone})
	}
	key := types.KeyOf("", ordersLease)
	return slices.Contains(tokenlog.Place(key, sites, leaseCandidates, ""), r.Address())
}

// changed lists the channels that are closed when the views must be rebuilt.
func (r *Router) changed() []<-chan struct{} {
	return []<-chan struct{}{r.holder.Changed(), r.members.Changed()}
}

// CallersAddress returns where callers reach this router.
func (r *Router) CallersAddress() string { return r.opts.Callers.Addr().String() }

// Address returns where other processes reach this one.
func (r *Router) Address() string { return r.peer.Self().Address }

// Run serves until ctx ends or the router is told to stop, then drains.
func (r *Router) Run(ctx context.Context) error {
	var group run.Group
	// The callers' server ends first: while their answers get out, the others say how it goes.
	serve(&group, r.opts.Callers, r.router.Handler(), r.answersPatience, r.recorder)
	serve(&group, r.opts.Peers, r.mount(nil), shortPatience, r.recorder)
	if r.admin != nil {
		serve(&group, r.opts.Admin, r.admin.Handler(), shortPatience, r.recorder)
	}
	r.actors(&group)
	actor(&group, r.router.Run)
	actor(&group, r.limiter.Run)
	actor(&group, r.claims.Run)
	actor(&group, r.keeper.Run)
	actor(&group, r.orders.Run)
	actor(&group, r.exchangeUsage)
	actor(&group, r.followText(r.apply))
	actor(&group, func(actorCtx context.Context) error { return r.untilDrained(ctx, actorCtx) })
	return group.Run()
}

// untilDrained waits for the order to stop, by ctx or over the network, and
// returns when no request is in flight any more. actorCtx ends it at once.
func (r *Router) untilDrained(ctx, actorCtx context.Context) error {
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
	r.untilLeft(drain)
	return nil
}

func (r *Router) beginDrain(reason string) {
	r.router.BeginDrain(reason)
	r.leave()
}

// apply hands a new text to the parts that keep something of it.
func (r *Router) apply(snapshot *config.Snapshot) {
	limits := make([]limit.OrganisationLimits, 0, len(snapshot.Config.Organisations))
	for i := range snapshot.Config.Organisations {
		o := &snapshot.Config.Organisations[i]
		limits = append(limits, limit.OrganisationLimits{
			Name: types.Organisation(o.Name), Weight: float64(o.Weight),
			RequestsPerSecond: o.Limits.RequestsPerSecond, Burst: o.Limits.Burst,
			Concurrent: o.Limits.Concurrent, Queued: queued(o.Limits.Queued), Priority: o.Priority,
		})
	}
	r.limiter.Apply(limits)
	r.members.AnnounceRevision()
	r.orders.Wake()
}

// unboundedQueue is the queue of an organisation whose text sets no bound: long
// enough that fair sharing decides, short enough to end within a deadline.
const unboundedQueue = 1024

// queued translates a text's bound, where 0 sets none, for the limiter, where 0
// is no queue.
func queued(bound int) int {
	if bound == 0 {
		return unboundedQueue
	}
	return bound
}

// routerService implements streampb.Router.
type routerService struct{ r *Router }

// Stop begins a planned stop and says how many requests are in flight.
func (s routerService) Stop(_ context.Context, req *streampb.StopRequest) (*streampb.StopResponse, error) {
	s.r.beginDrain(req.GetReason())
	return &streampb.StopResponse{InFlight: uint32(s.r.router.Streams())}, nil
}

// Usage reports what this router uses of the organisations' limits.
func (s routerService) Usage(context.Context, *streampb.UsageRequest) (*streampb.UsageReport, error) {
	return s.r.usage.report(), nil
}

func (r *Router) routers() []membership.Member {
	return r.members.Snapshot().Alive(types.RoleRouter)
}
