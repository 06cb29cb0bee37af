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
	// ordersLease is the name of the lease under which orders are given.
	ordersLease = "orders"
	// spareJournalPeers are the candidates that stand by for journal peers that fail.
	spareJournalPeers = 6
	// drainLong is how long a planned stop lets generations finish before those
	// that still run are moved to another backend server.
	drainLong = 2 * time.Second
	// drainLinger keeps a drained sidecar answering for a moment, so that routers
	// read the ends of their streams.
	drainLinger = 300 * time.Millisecond
	// textPatience is how long a first generation waits for the first text; the
	// stamp on the router's request has it fetched from there at once.
	textPatience = 300 * time.Millisecond
	// leastBatch is the batch of a text that asks for none.
	leastBatch = time.Millisecond
	// noTokens is an age that no generation reaches: its tokens aren't journalled.
	noTokens = 1 << 62
)

// SidecarOptions configure a sidecar process. Exactly one of Engine and Plain is set.
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
	opts    SidecarOptions
	sidecar *sidecar.Sidecar
	journal *tokenlog.Store
	created time.Time
	writer  atomic.Pointer[tokenlog.Writer]
}

// NewSidecar assembles a sidecar; Run starts it.
func NewSidecar(opts SidecarOptions) (*Sidecar, error) {
	b, err := newBase(opts.Common, types.RoleSidecar, opts.BackendServer)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{base: b, opts: opts, created: time.Now()}
	s.journal = tokenlog.NewStore(tokenlog.StoreOptions{MaxBytes: opts.JournalBytes, Recorder: b.recorder, Registerer: b.registry})
	guard := s.newGuard()
	s.sidecar = sidecar.New(sidecar.Options{
		Peer: b.peer, Zone: opts.Zone, BackendServer: opts.BackendServer,
		Engine: opts.Engine, Plain: opts.Plain, Calls: s.newCalls(),
		Dial: s.dial, Revision: b.holder.Revision, Suspects: b.suspects,
		Journal: s.journal, OpenJournal: s.openJournal, OnLeaving: b.leave,
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

func (s *Sidecar) newGuard() *order.Guard {
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

func (s *Sidecar) newCalls() func(func() bool) sidecar.Calls {
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

func (s *Sidecar) dial() sidecar.Dial {
	recovery := text.DefaultRecovery()
	if in := s.text(); in != nil {
		recovery = in.Recovery
	}
	return sidecar.Dial{RouterGrace: recovery.RouterGrace(), Retain: recovery.Retain(), DrainLong: drainLong}
}

// openJournal starts the journal of one attempt with the recovery dial in force.
func (s *Sidecar) openJournal(gen tokenlog.GenerationInfo) *tokenlog.Handle {
	in, recovery := s.firstText()
	sites := router.Sites(s.members.Snapshot(), in, time.Since(s.created))
	gen.Peers = tokenlog.Place(gen.ID.Key, sites, recovery.JournalPeers+spareJournalPeers, s.peer.Self().Address)
	gen.After, gen.Copies = recovery.JournalAfter(), recovery.JournalPeers
	if gen.After == 0 {
		gen.After = -1 // at once
	}
	if gen.Copies == 0 {
		gen.Copies, gen.After = 1, noTokens // a peer still learns who runs it
	}
	writer := s.writer.Load()
	// The writer takes a batch of 0 for none given, and would wait half a second.
	writer.SetBatch(max(recovery.JournalBatch(), leastBatch))
	return writer.Start(gen)
}

// firstText returns the text and its recovery dial; it waits a moment for the
// first text, and goes by the defaults if there is none.
//
// Failure it stops: a sidecar that has just started gets a generation before it
// has fetched the text, and runs it without a journal to its end. It shows as
// generation_lost when VM and router die, and as a second run of an idempotency key.
func (s *Sidecar) firstText() (*text.Config, text.Recovery) {
	patience := time.NewTimer(textPatience)
	defer patience.Stop()
	for {
		changed := s.holder.Changed()
		if in := s.text(); in != nil {
			return in, in.Recovery
		}
		select {
		case <-changed:
		case <-patience.C:
			return nil, text.DefaultRecovery()
		}
	}
}

// Address returns where other processes reach this one.
func (s *Sidecar) Address() string { return s.peer.Self().Address }

// Run serves until ctx ends or the sidecar is told to stop, then drains.
func (s *Sidecar) Run(ctx context.Context) error {
	writer := tokenlog.NewWriter(tokenlog.WriterOptions{
		Self: s.peer.Self().Address, Sender: journalSender{s.peer.Client()}, Recorder: s.recorder, Registerer: s.registry,
	})
	defer writer.Close()
	s.writer.Store(writer)
	var group run.Group
	serve(&group, s.opts.Peers, s.mount(s.sidecar.Handler()), s.answersPatience, s.recorder)
	s.actors(&group)
	actor(&group, s.sidecar.Run)
	actor(&group, s.journal.Run)
	actor(&group, s.followText(s.apply))
	actor(&group, func(actorCtx context.Context) error { return s.untilDrained(ctx, actorCtx) })
	return group.Run()
}

// untilDrained waits for the order to stop, by ctx or over the network, and
// returns when nothing runs here any more. actorCtx ends it at once.
func (s *Sidecar) untilDrained(ctx, actorCtx context.Context) error {
	select {
	case <-ctx.Done():
		s.sidecar.BeginLeave("signal")
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
	s.untilLeft(drain)
	return nil
}

// apply hands a new text to the parts that keep something of it.
func (s *Sidecar) apply(snapshot *config.Snapshot) {
	s.journal.SetRetain(snapshot.Config.Recovery.Retain())
}

// journalSender sends journal batches to other sidecars.
type journalSender struct{ http *http.Client }

// Append implements tokenlog.Sender.
func (j journalSender) Append(ctx context.Context, addr string, in *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	return streampb.NewSidecarProtobufClient("http://"+addr, j.http).Append(ctx, in)
}
