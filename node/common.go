package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/inbound"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/peer"
	configpb "github.com/pearyard/pearyard/rpc/config"
	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

const (
	defaultStaleAfter = 4 * time.Second
	// askTimeout bounds the wait for peers' texts at the start.
	askTimeout = 2 * time.Second
	// leaveTimeout bounds the announcement that this process is leaving.
	leaveTimeout      = time.Second
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds how long an ending process serves what is of no
	// caller's request, and anything when it ends by a failure.
	shutdownTimeout = 2 * time.Second
	// answersTimeout bounds how long answers may take to get out once all requests
	// have run. The largest, of 8 MB, takes 6.4 s on a link of 10 Mbit/s.
	answersTimeout  = time.Minute
	routerPollText  = time.Second
	sidecarPollText = 20 * time.Second
)

// Platform is what the platform gives a process. Any part may be nil for a
// sidecar; a router needs them all.
type Platform struct {
	Table   backing.Table
	Objects backing.Objects
	VMs     backing.VMList
	Weights backing.Weights
}

// Common is what routers and sidecars are both told.
type Common struct {
	ID        types.ProcessID
	Zone      types.Zone
	Peers     net.Listener // for other processes
	Advertise string       // ip:port under which others reach Peers; empty: its address
	Seeds     []string     // ip:port of peers that are asked first
	Platform  Platform
	Logger    log.Logger
	RingSize  int           // events kept; 0: event.DefaultRingSize
	Poll      time.Duration // between polls of the store for a newer text; 0: by role
	Drain     time.Duration // longest wait of a planned stop; 0: no bound
	// StaleAfter is the age of the newest confirmation of the text past which
	// new work is refused: the process may have been frozen or cut off
	// meanwhile. 0: four seconds; below 0: never.
	StaleAfter time.Duration
	VMListLag  time.Duration // how far the platform's VM list may lag; 0: membership's default
}

func (c Common) withDefaults(role types.Role) Common {
	if c.Advertise == "" {
		c.Advertise = c.Peers.Addr().String()
	}
	if c.RingSize == 0 {
		c.RingSize = event.DefaultRingSize
	}
	if c.StaleAfter == 0 {
		c.StaleAfter = defaultStaleAfter
	}
	if c.Poll == 0 && role == types.RoleRouter {
		c.Poll = routerPollText
	}
	if c.Poll == 0 {
		c.Poll = sidecarPollText
	}
	return c
}

// base holds the parts that every process has.
type base struct {
	opts     Common
	role     types.Role
	created  time.Time
	recorder *event.Recorder
	registry *prometheus.Registry
	inspect  *inspect.Registry
	peer     *peer.Peer
	holder   *config.Holder
	store    *config.Store // nil without a table service
	spreader *config.Syncer
	pusher   *config.Pusher
	members  *membership.Membership
	suspects *suspect.Ledger
	news     *suspect.Gossiper
	mux      *http.ServeMux // of the peer listener
	left     chan struct{}  // closed when the others have heard that this process leaves, or won't
	leaving  sync.Once
	stopBy   atomic.Pointer[time.Time] // end of a bounded planned stop; nil: none
}

func newBase(opts Common, role types.Role, backendServer string) (*base, error) {
	opts = opts.withDefaults(role)
	b := &base{opts: opts, role: role, created: time.Now(), registry: prometheus.NewRegistry(), mux: http.NewServeMux(), left: make(chan struct{})}
	b.recorder = event.NewRecorder(log.With(opts.Logger, "ts", log.DefaultTimestampUTC, "process", opts.ID), opts.RingSize)
	b.holder = config.NewHolder(config.HolderOptions{Recorder: b.recorder, Registerer: b.registry})
	b.peer = peer.New(peer.Options{
		Self:     peer.Identity{ID: opts.ID, Incarnation: types.NewIncarnation(time.Now()), Address: opts.Advertise},
		Revision: b.holder.Revision,
	})
	b.newConfig()
	if err := b.newMembers(backendServer); err != nil {
		return nil, err
	}
	b.newSuspects()
	b.peer.OnSeen(b.seen)
	return b, b.newInspect()
}

func (b *base) newConfig() {
	client := config.NewClient(b.holder, b.peer.Client())
	opts := config.SyncerOptions{Holder: b.holder, Source: client, Recorder: b.recorder, Registerer: b.registry, PollInterval: b.opts.Poll}
	if b.opts.Platform.Table != nil {
		b.store = config.NewStore(config.StoreOptions{
			Table: b.opts.Platform.Table, Objects: b.opts.Platform.Objects,
			Recorder: b.recorder, Registerer: b.registry, KnownRevision: b.holder.Revision,
		})
		opts.Store = b.store
	}
	b.spreader = config.NewSyncer(opts)
	b.pusher = config.NewPusher(b.spreader, client, b.opts.Advertise)
}

func (b *base) newMembers(backendServer string) error {
	self := b.peer.Self()
	members, err := membership.New(membership.Options{
		Self: membership.Member{
			ID: self.ID, Role: b.role, Address: self.Address, Zone: b.opts.Zone,
			BackendServer: backendServer, Incarnation: self.Incarnation,
		},
		Seeds: b.opts.Seeds, VMList: b.opts.Platform.VMs, VMListLag: b.opts.VMListLag, HTTPClient: b.peer.Client(),
		Recorder: b.recorder, Registerer: b.registry,
		Revision: b.holder.Revision, OnRevision: b.spreader.RecordPeerRevision,
	})
	b.members = members
	return errors.Wrap(err, "node: membership")
}

func (b *base) newInspect() error {
	self := b.peer.Self()
	registry, err := inspect.New(inspect.Options{
		Identity: inspect.Identity{Process: self.ID, Role: b.role, Zone: b.opts.Zone, Incarnation: self.Incarnation},
		Revision: b.holder.Revision, Recorder: b.recorder, Gatherer: b.registry, Registerer: b.registry,
	})
	if err != nil {
		return errors.Wrap(err, "node: inspect")
	}
	b.inspect = registry
	registry.Add("membership", b.members.Dump)
	registry.Add("suspects", func() any { return b.suspects.Dump() })
	return nil
}

// seen learns from the stamp on a message. It is on the path of every call.
func (b *base) seen(stamp peer.Stamp) {
	b.spreader.RecordPeerRevision(stamp.Address, stamp.Revision)
	b.holder.RecordConfirmation(stamp.Revision, stamp.AsOf)
	m, ok := b.members.Snapshot().ByID(stamp.ID)
	if !ok || m.State != membership.StateSuspect || m.Incarnation != stamp.Incarnation {
		return
	}
	// A suspect that answers is alive, whatever the probes said.
	m.State = membership.StateAlive
	b.members.Observe(m)
}

// followText returns an actor that calls apply with the text in force and with
// each one after it. The channel is taken before the text, so that none is missed.
func (b *base) followText(apply func(*config.Snapshot)) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			changed := b.holder.Changed()
			if snapshot := b.holder.Current(); snapshot != nil {
				apply(snapshot)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		}
	}
}

// text returns the text in force, nil if there is none.
func (b *base) text() *text.Config {
	if snapshot := b.holder.Current(); snapshot != nil {
		return snapshot.Config
	}
	return nil
}

func (b *base) fresh() bool {
	return b.opts.StaleAfter < 0 || b.holder.Freshness() < b.opts.StaleAfter
}

// drainContext bounds the wait of a planned stop, if it is to be bounded.
func (b *base) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if b.opts.Drain <= 0 {
		return ctx, func() {}
	}
	end := time.Now().Add(b.opts.Drain)
	b.stopBy.Store(&end)
	return context.WithDeadline(ctx, end)
}

// answersPatience returns how long answers may still take to get out.
func (b *base) answersPatience() time.Duration {
	end := b.stopBy.Load()
	if end == nil {
		return answersTimeout
	}
	return min(answersTimeout, max(shutdownTimeout, time.Until(*end)))
}

// shortPatience is for listeners without callers' answers.
func shortPatience() time.Duration { return shutdownTimeout }

// mount fills the peer listener with what every process serves.
func (b *base) mount(own http.Handler) http.Handler {
	b.mux.Handle(b.members.PathPrefix(), b.members.Handler())
	b.mux.Handle(configpb.ConfigPathPrefix, config.NewServer(b.holder, b.spreader).Handler())
	b.mux.Handle(suspectpb.SuspectsPathPrefix, b.suspects.Handler())
	b.mux.Handle("/debug/", b.inspect.Handler())
	b.mux.Handle("/metrics", b.inspect.Handler())
	if own != nil {
		b.mux.Handle("/", own)
	}
	return b.peer.Handler(b.mux)
}

// actors adds to group what every process runs.
func (b *base) actors(group *run.Group) {
	actor(group, b.members.Run)
	actor(group, b.suspects.Run)
	actor(group, b.news.Run)
	actor(group, b.followText(b.applySuspicion))
	actor(group, func(ctx context.Context) error {
		asking, cancel := context.WithTimeout(ctx, askTimeout)
		b.spreader.FetchNewest(asking, b.opts.Seeds)
		cancel()
		return b.spreader.Run(ctx)
	})
}

// actor adds a function that runs until its context is cancelled.
func actor(group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return ignoreCancelled(f(ctx), ctx) }, func(error) { cancel() })
}

// ignoreCancelled lets an actor that was asked to end end without an error.
func ignoreCancelled(err error, ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// serve adds an HTTP server on listener. When a planned stop ends it, answers
// have the time of patience to get out.
//
// Failure it stops: a request leaves the count of a planned stop when it has run
// or its handler returns, while its answer is still on its way over a slow link.
// Closed two seconds later, the answer is cut; of a call that may run at most
// once the caller then doesn't know the outcome. The end waits only until all
// answers are out, so a stop without slow ones takes no longer.
func serve(group *run.Group, listener net.Listener, handler http.Handler, patience func() time.Duration, recorder *event.Recorder) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	clients := inbound.New(listener, inbound.Options{Recorder: recorder})
	clients.Attach(server)
	group.Add(func() error {
		err := server.Serve(clients)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "node: serve %s", listener.Addr())
	}, func(ended error) {
		bound := shutdownTimeout
		if ended == nil {
			bound = patience()
		}
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		if clients.Finish(ctx, server) != nil {
			_ = server.Close()
		}
	})
}

// leave tells the others, beside what else a stop does, that this process takes
// no new work. It is safe to call many times.
func (b *base) leave() {
	b.leaving.Do(func() {
		go func() {
			defer close(b.left)
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			_ = b.members.Leave(ctx)
		}()
	})
}

// untilLeft waits for what leave has begun.
//
// Failure it stops: a process without work drains in no time and ends before any
// other has heard that it leaves. It shows as a planned stop that the others
// take for a failure. The wait is bounded by leaveTimeout.
func (b *base) untilLeft(ctx context.Context) {
	select {
	case <-b.left:
	case <-ctx.Done():
	}
}
