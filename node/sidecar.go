package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/gate"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/lease"
	"github.com/pearyard/pearyard/order"
	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/router"
	journalpb "github.com/pearyard/pearyard/rpc/journal"
	orderpb "github.com/pearyard/pearyard/rpc/order"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/sidecar"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

const (
	// ordersLease is the name of the lease whose holder gives orders to the engines.
	ordersLease = "orders"
	// spareJournalPeers is the number of additional candidates that can replace journal
	// peers that fail.
	spareJournalPeers = 6
	// moveDelay is how long a planned stop lets generations finish before those still
	// running are asked to move to another backend server.
	moveDelay = 2 * time.Second
	// drainLinger is how long a drained sidecar continues to respond, so that routers can
	// read the ends of their streams.
	drainLinger = 300 * time.Millisecond
	// firstConfigTimeout is how long a generation waits for the first configuration, which
	// is fetched at once from the router that sent the request, as the stamp on the
	// request names its revision.
	firstConfigTimeout = 300 * time.Millisecond
	// minJournalBatch replaces a batch interval of 0 in a configuration.
	minJournalBatch = time.Millisecond
	// neverJournalAge is a minimum age that no generation reaches, so that its tokens aren't
	// journalled: 146 years in nanoseconds.
	neverJournalAge = 1 << 62
)

// SidecarOptions configures a sidecar process. Exactly one of Engine and Plain must be
// set.
type SidecarOptions struct {
	Common
	BackendServer string
	Engine        engine.Engine
	Plain         plain.Service
	JournalBytes  int // memory for other sidecars' journals; 0: tokenlog.DefaultMaxBytes
}

// Sidecar is one sidecar process.
type Sidecar struct {
	*base
	opts      SidecarOptions
	sidecar   *sidecar.Sidecar
	journal   *tokenlog.Store
	createdAt time.Time
	writer    atomic.Pointer[tokenlog.Writer] // set by Run
}

// NewSidecar assembles a sidecar; Run starts it.
func NewSidecar(opts SidecarOptions) (*Sidecar, error) {
	b, err := newBase(opts.Common, types.RoleSidecar, opts.BackendServer)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{base: b, opts: opts, createdAt: time.Now()}
	s.journal = tokenlog.NewStore(tokenlog.StoreOptions{MaxBytes: opts.JournalBytes, Recorder: b.recorder, Registerer: b.registry})
	guard := s.newOrderGuard()
	s.sidecar = sidecar.New(sidecar.Options{
		Peer: b.peer, Zone: opts.Zone, BackendServer: opts.BackendServer,
		Engine: opts.Engine, Plain: opts.Plain, Calls: s.newCallGate(),
		Recovery: s.recoverySettings, Revision: b.holder.Revision, Suspects: b.suspects,
		Journal: s.journal, OpenJournal: s.openJournal, OnDrain: b.announceLeave,
		Recorder: b.recorder, Registerer: b.registry,
	})
	b.inspect.Add("sidecar", s.sidecar.Dump)
	b.inspect.Add("journal", func() any { return s.journal.Dump() })
	b.inspect.Add("journal_writer", func() any { return s.writer.Load().Dump() })
	b.inspect.Add(inspect.SectionDrain, func() any { return s.sidecar.Drain() })
	if guard != nil {
		b.inspect.Add("orders", func() any { return guard.Dump() })
		b.mux.Handle(orderpb.OrdersPathPrefix, orderpb.NewOrdersServer(order.NewServer(guard)))
	}
	b.mux.Handle(journalpb.JournalPathPrefix, journalpb.NewJournalServer(tokenlog.NewServer(s.journal)))
	return s, nil
}

// newOrderGuard returns the guard that checks orders to the engine, or nil if there is no
// engine or no table service.
func (s *Sidecar) newOrderGuard() *order.Guard {
	if s.opts.Engine == nil || s.opts.Platform.Table == nil {
		return nil
	}
	return order.NewGuard(order.GuardOptions{
		Engine: s.opts.Engine,
		ReadFence: func(ctx context.Context) (uint64, error) {
			return lease.ReadFence(ctx, s.opts.Platform.Table, ordersLease)
		},
		Recorder: s.recorder, Registerer: s.registry,
	})
}

// newCallGate returns the function that builds the gate of plain calls, or nil if the
// backend server is an engine.
func (s *Sidecar) newCallGate() func(func() bool) sidecar.Calls {
	if s.opts.Plain == nil {
		return nil
	}
	return func(leaving func() bool) sidecar.Calls {
		calls := gate.NewCalls(gate.Options{
			Service: s.opts.Plain, Incarnation: s.peer.Self().Incarnation,
			Recorder: s.recorder, Registerer: s.registry, Leaving: leaving,
		})
		s.inspect.Add("calls", calls.Dump)
		return calls
	}
}

func (s *Sidecar) recoverySettings() sidecar.RecoverySettings {
	recovery := text.DefaultRecovery()
	if cfg := s.currentConfig(); cfg != nil {
		recovery = cfg.Recovery
	}
	return sidecar.RecoverySettings{RouterGrace: recovery.RouterGrace(), Retention: recovery.Retain(), MoveAfter: moveDelay}
}

// openJournal starts the journal of one attempt with the recovery settings in force.
func (s *Sidecar) openJournal(gen tokenlog.GenerationInfo) *tokenlog.Handle {
	cfg, recovery := s.waitFirstConfig()
	sites := router.JournalSites(s.members.Snapshot(), cfg, time.Since(s.createdAt))
	gen.Peers = tokenlog.Place(gen.ID.Key, sites, recovery.JournalPeers+spareJournalPeers, s.peer.Self().Address)
	gen.MinAge, gen.Copies = recovery.JournalAfter(), recovery.JournalPeers
	if gen.MinAge == 0 {
		gen.MinAge = -1 // at once
	}
	if gen.Copies == 0 {
		// No journal is configured, but one peer still records the runner.
		gen.Copies, gen.MinAge = 1, neverJournalAge
	}
	writer := s.writer.Load()
	// For the writer a batch interval of 0 means unset, and it would use its default of
	// half a second.
	writer.SetBatchInterval(max(recovery.JournalBatch(), minJournalBatch))
	return writer.Start(gen)
}

// waitFirstConfig returns the configuration and its recovery settings. It waits for the
// first configuration for up to firstConfigTimeout, and then returns the default settings.
//
// It guards against a sidecar that has just started, gets a generation before it has
// fetched the configuration, and runs it to the end without a journal. The effect is
// generation_lost when the VM and the router die, or a second run for one idempotency key.
func (s *Sidecar) waitFirstConfig() (*text.Config, text.Recovery) {
	timer := time.NewTimer(firstConfigTimeout)
	defer timer.Stop()
	for {
		changed := s.holder.Changed()
		if cfg := s.currentConfig(); cfg != nil {
			return cfg, cfg.Recovery
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, text.DefaultRecovery()
		}
	}
}

// Address returns the address at which other processes reach this one.
func (s *Sidecar) Address() string { return s.peer.Self().Address }

// Run serves until ctx ends or the sidecar is told to stop, then drains.
func (s *Sidecar) Run(ctx context.Context) error {
	writer := tokenlog.NewWriter(tokenlog.WriterOptions{
		Self: s.peer.Self().Address, Sender: journalSender{s.peer.Client()}, Recorder: s.recorder, Registerer: s.registry,
	})
	defer writer.Close()
	s.writer.Store(writer)
	var group run.Group
	addServer(&group, s.opts.Peers, s.peerHandler(s.sidecar.Handler()), s.responseTimeout, s.recorder)
	s.addActors(&group)
	addActor(&group, s.sidecar.Run)
	addActor(&group, s.journal.Run)
	addActor(&group, s.followConfig(s.applyConfig))
	addActor(&group, func(actorCtx context.Context) error { return s.waitDrained(ctx, actorCtx) })
	return group.Run()
}

// waitDrained waits for a planned stop, requested by ctx or over the network, and returns
// when nothing runs here any more, or when actorCtx ends.
func (s *Sidecar) waitDrained(ctx, actorCtx context.Context) error {
	select {
	case <-ctx.Done():
		s.sidecar.BeginDrain("signal")
	case <-s.sidecar.Stopping():
	case <-actorCtx.Done():
		return nil
	}
	drain, cancel := s.drainContext(actorCtx)
	defer cancel()
	if err := s.sidecar.Drained(drain); err != nil {
		return err
	}
	select {
	case <-time.After(drainLinger):
	case <-actorCtx.Done():
	}
	s.waitLeaveAnnounced(drain)
	return nil
}

// applyConfig passes a new configuration to the parts that keep data derived from it.
func (s *Sidecar) applyConfig(snapshot *config.Snapshot) {
	s.journal.SetRetention(snapshot.Config.Recovery.Retain())
}

// journalSender sends journal batches to other sidecars.
type journalSender struct{ http *http.Client }

// Append implements tokenlog.Sender.
func (j journalSender) Append(ctx context.Context, addr string, in *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	return streampb.NewSidecarProtobufClient("http://"+addr, j.http).Append(ctx, in)
}
