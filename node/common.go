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
	// defaultStaleAfter is the default of Common.StaleAfter.
	defaultStaleAfter = 4 * time.Second
	// initialConfigTimeout limits the wait at startup for the configuration of peers.
	initialConfigTimeout = 2 * time.Second
	// leaveTimeout limits the announcement that this process is leaving.
	leaveTimeout      = time.Second
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout limits how long a process that is ending serves requests that don't
	// come from callers, or, after a failure, any requests.
	shutdownTimeout = 2 * time.Second
	// responseDrainTimeout limits how long responses may take to be sent once all requests
	// have run. The largest, 8 MB, takes 6.4 s on a 10 Mbit/s link.
	responseDrainTimeout = time.Minute
	// routerPollInterval and sidecarPollInterval are the defaults of Common.Poll.
	routerPollInterval  = time.Second
	sidecarPollInterval = 20 * time.Second
)

// Platform holds the services that the platform provides to a process. Any of them may be
// nil for a sidecar; a router needs all of them.
type Platform struct {
	Table   backing.Table
	Objects backing.Objects
	VMs     backing.VMList
	Weights backing.Weights
}

// Common holds the options that routers and sidecars share.
type Common struct {
	ID        types.ProcessID
	Zone      types.Zone
	Peers     net.Listener // for other processes
	Advertise string       // ip:port at which others reach Peers; empty: the listener's address
	Seeds     []string     // ip:port of the peers that are contacted first
	Platform  Platform
	Logger    log.Logger
	RingSize  int           // number of events kept; 0: event.DefaultRingSize
	Poll      time.Duration // interval of polling the store for a newer configuration; 0: depends on the role
	Drain     time.Duration // limit on a planned stop; 0: none
	// StaleAfter is the age of the last confirmation of the configuration from which on
	// new work is refused, because the process may have been frozen or cut off meanwhile.
	// 0: four seconds; negative: never.
	StaleAfter time.Duration
	VMListLag  time.Duration // maximum lag of the platform's VM list; 0: membership's default
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
		c.Poll = routerPollInterval
	}
	if c.Poll == 0 {
		c.Poll = sidecarPollInterval
	}
	return c
}

// base holds the parts that routers and sidecars share.
type base struct {
	opts           Common
	role           types.Role
	startedAt      time.Time
	recorder       *event.Recorder
	registry       *prometheus.Registry
	inspect        *inspect.Registry
	peer           *peer.Peer
	holder         *config.Holder
	store          *config.Store // nil without a table service
	syncer         *config.Syncer
	pusher         *config.Pusher
	members        *membership.Membership
	suspects       *suspect.Ledger
	gossiper       *suspect.Gossiper
	mux            *http.ServeMux // serves the peer listener
	leaveAnnounced chan struct{}  // closed when the announcement of leaving has been delivered or has failed
	leaveOnce      sync.Once
	drainDeadline  atomic.Pointer[time.Time] // deadline of a limited planned stop; nil: none
}

func newBase(opts Common, role types.Role, backendServer string) (*base, error) {
	opts = opts.withDefaults(role)
	b := &base{opts: opts, role: role, startedAt: time.Now(), registry: prometheus.NewRegistry(), mux: http.NewServeMux(), leaveAnnounced: make(chan struct{})}
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
	b.peer.SetOnStamp(b.onStamp)
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
	b.syncer = config.NewSyncer(opts)
	b.pusher = config.NewPusher(b.syncer, client, b.opts.Advertise)
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
		Revision: b.holder.Revision, OnRevision: b.syncer.RecordPeerRevision,
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

// onStamp processes the stamp on a message. It is called for every message, so it must be
// fast.
func (b *base) onStamp(stamp peer.Stamp) {
	b.syncer.RecordPeerRevision(stamp.Address, stamp.Revision)
	b.holder.RecordConfirmation(stamp.Revision, stamp.AsOf)
	m, ok := b.members.Snapshot().ByID(stamp.ID)
	if !ok || m.State != membership.StateSuspect || m.Incarnation != stamp.Incarnation {
		return
	}
	// A suspect that responds is alive, whatever the probes said.
	m.State = membership.StateAlive
	b.members.Observe(m)
}

// followConfig returns an actor that calls apply with the configuration in force and with
// each later one. The channel is obtained before the configuration, so that no change is
// missed.
func (b *base) followConfig(apply func(*config.Snapshot)) func(context.Context) error {
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

// currentConfig returns the configuration in force, or nil if there is none.
func (b *base) currentConfig() *text.Config {
	if snapshot := b.holder.Current(); snapshot != nil {
		return snapshot.Config
	}
	return nil
}

// isFresh reports whether the configuration in force has been confirmed recently enough to
// accept new work.
func (b *base) isFresh() bool {
	return b.opts.StaleAfter < 0 || b.holder.Freshness() < b.opts.StaleAfter
}

// drainContext applies the limit on a planned stop, if there is one, to ctx, and sets the
// deadline that responseTimeout observes.
func (b *base) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if b.opts.Drain <= 0 {
		return ctx, func() {}
	}
	end := time.Now().Add(b.opts.Drain)
	b.drainDeadline.Store(&end)
	return context.WithDeadline(ctx, end)
}

// responseTimeout returns how long responses may still take to be sent: until the deadline
// of a limited planned stop, but at least shutdownTimeout and at most responseDrainTimeout.
func (b *base) responseTimeout() time.Duration {
	end := b.drainDeadline.Load()
	if end == nil {
		return responseDrainTimeout
	}
	return min(responseDrainTimeout, max(shutdownTimeout, time.Until(*end)))
}

// shortResponseTimeout is for listeners that don't serve callers' responses.
func shortResponseTimeout() time.Duration { return shutdownTimeout }

// peerHandler returns the handler of the peer listener: what every process serves, and
// own.
func (b *base) peerHandler(own http.Handler) http.Handler {
	b.mux.Handle(b.members.PathPrefix(), b.members.Handler())
	b.mux.Handle(configpb.ConfigPathPrefix, config.NewServer(b.holder, b.syncer).Handler())
	b.mux.Handle(suspectpb.SuspectsPathPrefix, b.suspects.Handler())
	b.mux.Handle("/debug/", b.inspect.Handler())
	b.mux.Handle("/metrics", b.inspect.Handler())
	if own != nil {
		b.mux.Handle("/", own)
	}
	return b.peer.Handler(b.mux)
}

// addActors adds the actors that every process runs.
func (b *base) addActors(group *run.Group) {
	addActor(group, b.members.Run)
	addActor(group, b.suspects.Run)
	addActor(group, b.gossiper.Run)
	addActor(group, b.followConfig(b.applySuspicionLimits))
	addActor(group, func(ctx context.Context) error {
		fetchCtx, cancel := context.WithTimeout(ctx, initialConfigTimeout)
		b.syncer.FetchNewest(fetchCtx, b.opts.Seeds)
		cancel()
		return b.syncer.Run(ctx)
	})
}

// addActor adds a function that runs until its context is cancelled.
func addActor(group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return ignoreCancelled(f(ctx), ctx) }, func(error) { cancel() })
}

// ignoreCancelled drops the error of an actor that was asked to end.
func ignoreCancelled(err error, ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// addServer adds an HTTP server on listener. When a planned stop ends it, responses have
// the time returned by timeout to be sent.
//
// It guards against responses that are cut off: a request stops counting towards a planned
// stop when it has run or its handler returns, while its response may still be on its way
// over a slow link. If the connection were closed two seconds later, the response would be
// lost, and for a call that may run at most once the caller would not know the outcome.
// The server ends as soon as all responses are sent, so a stop without slow responses
// takes no longer.
func addServer(group *run.Group, listener net.Listener, handler http.Handler, timeout func() time.Duration, recorder *event.Recorder) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	clients := inbound.New(listener, inbound.Options{Recorder: recorder})
	clients.Attach(server)
	group.Add(func() error {
		err := server.Serve(clients)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrapf(err, "node: serve %s", listener.Addr())
	}, func(cause error) {
		limit := shutdownTimeout
		if cause == nil {
			limit = timeout()
		}
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if clients.Finish(ctx, server) != nil {
			_ = server.Close()
		}
	})
}

// announceLeave tells the other processes that this one accepts no new work. It doesn't
// wait, and may be called repeatedly.
func (b *base) announceLeave() {
	b.leaveOnce.Do(func() {
		go func() {
			defer close(b.leaveAnnounced)
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			defer cancel()
			_ = b.members.Leave(ctx)
		}()
	})
}

// waitLeaveAnnounced waits until the announcement that announceLeave began has ended.
//
// It guards against a process without work that drains immediately and ends before any
// other has heard that it is leaving: the others would treat the planned stop as a
// failure. The wait is limited by leaveTimeout.
func (b *base) waitLeaveAnnounced(ctx context.Context) {
	select {
	case <-b.leaveAnnounced:
	case <-ctx.Done():
	}
}
