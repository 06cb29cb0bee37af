package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

// Dial is the part of the recovery settings that a sidecar acts on. It is read
// anew for each generation, so that a new revision takes effect at once.
type Dial struct {
	RouterGrace time.Duration // how long a generation runs on without a reader
	Retain      time.Duration // how long an ended generation can still be read
	DrainLong   time.Duration // how long a stop waits before it moves what still runs
}

// Calls is the gate of plain calls (package gate).
type Calls interface {
	Call(ctx context.Context, req *streampb.CallRequest) *streampb.CallResponse
	Void(ctx context.Context, req *streampb.VoidRequest) *streampb.CallResponse
	Ran(claimKey string) bool
}

// Options configure a Sidecar. Exactly one of Engine and Plain is set.
type Options struct {
	Peer          *peer.Peer
	Zone          types.Zone
	BackendServer string
	Engine        engine.Engine
	Plain         plain.Service
	Calls         func(leaving func() bool) Calls // builds the gate; nil beside an engine
	Dial          func() Dial
	Revision      func() types.Revision
	Suspects      *suspect.Ledger                                // may be nil
	Journal       *tokenlog.Store                                // tokens kept for others; may be nil
	OpenJournal   func(tokenlog.GenerationInfo) *tokenlog.Handle // tokens sent to others; may be nil, or return nil
	OnLeaving     func()                                         // told once, when the backend server begins to leave
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
}

// Sidecar guards one backend server.
type Sidecar struct {
	opts      Options
	admission *admission
	runs      *runs
	watch     *watch
	calls     Calls
	metrics   *metrics
	stopping  chan struct{} // closed when leaving begins
	leftAt    atomic.Int64  // when that was, in Unix nanoseconds; 0: not yet
}

// New returns a sidecar; Run must be running for it to see its engine die.
func New(opts Options) *Sidecar {
	s := &Sidecar{
		opts:      opts,
		admission: newAdmission(),
		runs:      newRuns(),
		metrics:   newMetrics(opts.Registerer),
		stopping:  make(chan struct{}),
	}
	self := opts.Peer.Self()
	s.watch = &watch{
		process:  types.ProcessID(fmt.Sprintf("%s@%d", self.ID, self.Incarnation)),
		probe:    s.probe,
		readLoad: s.readLoad,
		onDeath:  s.engineDied,
		onBack:   func() { opts.Recorder.Emit(eventEngineBack, "backend_server", opts.BackendServer) },
	}
	s.watch.onCheck = s.lookAtStalled
	if opts.Calls != nil {
		s.calls = opts.Calls(s.admission.isLeaving)
	}
	return s
}

// Run watches the backend server until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	s.opts.Recorder.Emit(eventStarted, "backend_server", s.opts.BackendServer, "zone", s.opts.Zone)
	return s.watch.run(ctx)
}

// Handler serves the sidecar's side of rpc/stream.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+streampb.PathGenerate, s.serveGenerate)
	mux.HandleFunc("POST "+streampb.PathAttach, s.serveAttach)
	twirpServer := streampb.NewSidecarServer(service{s})
	mux.Handle(twirpServer.PathPrefix(), twirpServer)
	return mux
}

// Leaving reports whether the backend server takes no new work.
func (s *Sidecar) Leaving() bool { return s.admission.isLeaving() }

// InFlight returns how much work is inside.
func (s *Sidecar) InFlight() int { return s.admission.count() }

func (s *Sidecar) probe(ctx context.Context) error {
	if s.opts.Engine != nil {
		return s.opts.Engine.Healthy(ctx)
	}
	return s.opts.Plain.Healthy(ctx)
}

func (s *Sidecar) readLoad(ctx context.Context) (types.Load, error) {
	if s.opts.Engine != nil {
		return s.opts.Engine.Load(ctx)
	}
	return types.Load{Running: s.admission.count()}, nil
}

// engineDied ends every generation that ran there, all by the same death.
func (s *Sidecar) engineDied(d death) {
	lost := 0
	for _, r := range s.runs.all() {
		if s.lose(r, d) {
			lost++
		}
	}
	s.opts.Recorder.Emit(eventEngineDied, "backend_server", s.opts.BackendServer, "death", d.id, "lost", lost)
}

// errStalled: an engine that answers probes has stopped working on a request.
var errStalled = errors.New("sidecar: generation stands still")

// lookAtStalled tells of generations that stand still, and gives up those that
// nobody waits for.
//
// Failure it stops: an engine whose own loop is stuck, or whose connection is cut
// one way only, still answers probes; its generations would hold it for good. An
// engine that has set a generation aside for want of memory looks the same, and
// goes on with it later: given up here, its answer is lost if there is no other
// place, or its prompt is read again. Only the router that reads knows whether
// there is one, so the end is that router's to decide. A run whose reader has
// left keeps its grace time, for the caller to come back.
func (s *Sidecar) lookAtStalled() {
	for _, r := range s.runs.all() {
		state := r.log.Snapshot(0)
		if state.Phase != generation.Running || state.Count == r.emitted || time.Since(state.Last) < stallAfter {
			continue
		}
		given := !r.awaited() && r.log.Lose(errStalled)
		if given {
			r.cancel()
		}
		if given || r.firstStallAt(state.Count) {
			s.opts.Recorder.Emit(eventStalled, event.FieldRequest, r.request, "generation", r.log.ID(), "tokens", state.Count, "given_up", given)
		}
	}
}

func (s *Sidecar) lose(r *run, d death) bool {
	if r.log.Snapshot(0).Phase != generation.Running {
		return false
	}
	r.setDeath(d)
	if s.opts.Suspects != nil {
		s.opts.Suspects.RecordWeightedDeath(d.id, r.fingerprint, r.proven())
	}
	lost := r.log.Lose(engine.ErrConnectionLost)
	r.cancel()
	return lost
}
