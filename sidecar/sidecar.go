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

// RecoverySettings holds the recovery settings that a sidecar uses. They are read again
// whenever one is needed, so a new revision takes effect at once.
type RecoverySettings struct {
	RouterGrace time.Duration // how long a generation continues without a reader
	Retention   time.Duration // how long an ended generation can still be read
	MoveAfter   time.Duration // how long a stop waits before it asks running generations to move
}

// Calls runs plain calls at most once (package gate).
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
	Calls         func(leaving func() bool) Calls // builds the call gate; nil if Engine is set
	Recovery      func() RecoverySettings
	Revision      func() types.Revision
	Suspects      *suspect.Ledger                                // may be nil
	Journal       *tokenlog.Store                                // tokens stored for other sidecars; may be nil
	OpenJournal   func(tokenlog.GenerationInfo) *tokenlog.Handle // opens the journal of an attempt on other sidecars; may be nil or return nil
	OnDrain       func()                                         // called once, when the backend server begins to drain
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
}

// Sidecar controls access to one backend server.
type Sidecar struct {
	opts         Options
	admission    *admission
	runs         *runs
	monitor      *healthMonitor
	calls        Calls
	metrics      *metrics
	stopping     chan struct{} // closed when draining begins
	drainStarted atomic.Int64  // when draining began, in Unix nanoseconds; 0: not yet
}

// New returns a sidecar. Run must be running for it to detect the death of its engine.
func New(opts Options) *Sidecar {
	s := &Sidecar{
		opts:      opts,
		admission: newAdmission(),
		runs:      newRuns(),
		metrics:   newMetrics(opts.Registerer),
		stopping:  make(chan struct{}),
	}
	self := opts.Peer.Self()
	s.monitor = &healthMonitor{
		process:    types.ProcessID(fmt.Sprintf("%s@%d", self.ID, self.Incarnation)),
		probe:      s.probe,
		readLoad:   s.readLoad,
		onDeath:    s.engineDied,
		onRecovery: func() { opts.Recorder.Emit(eventEngineBack, "backend_server", opts.BackendServer) },
	}
	s.monitor.onCheck = s.checkStalled
	if opts.Calls != nil {
		s.calls = opts.Calls(s.admission.isDraining)
	}
	return s
}

// Run monitors the backend server until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	s.opts.Recorder.Emit(eventStarted, "backend_server", s.opts.BackendServer, "zone", s.opts.Zone)
	return s.monitor.run(ctx)
}

// Handler returns the handler of the sidecar's part of rpc/stream.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+streampb.PathGenerate, s.serveGenerate)
	mux.HandleFunc("POST "+streampb.PathAttach, s.serveAttach)
	twirpServer := streampb.NewSidecarServer(service{s})
	mux.Handle(twirpServer.PathPrefix(), twirpServer)
	return mux
}

// Draining reports whether the backend server has stopped accepting new work.
func (s *Sidecar) Draining() bool { return s.admission.isDraining() }

// InFlight returns the number of requests and generations in progress.
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

// engineDied marks every running generation as lost to the same death.
func (s *Sidecar) engineDied(d death) {
	lost := 0
	for _, r := range s.runs.all() {
		if s.markLost(r, d) {
			lost++
		}
	}
	s.opts.Recorder.Emit(eventEngineDied, "backend_server", s.opts.BackendServer, "death", d.id, "lost", lost)
}

// errStalled means that an engine which responds to probes has stopped producing tokens
// for a request.
var errStalled = errors.New("sidecar: generation stands still")

// checkStalled reports generations that have stalled, and gives up those that no router
// reads or may come back to read. A generation without a new token yet is not checked: it
// may be queued or in prefill.
//
// It guards against an engine whose own loop is stuck, or whose connection is cut in one
// direction, and which still responds to probes: its generations would occupy it forever.
// An engine that has preempted a generation for lack of memory looks the same and
// continues it later. If it were given up here, its answer would be lost when there is no
// other backend server, or its prompt would be prefilled again. Only the router that reads
// it knows whether there is another one, so that router decides. A run whose reader has
// left keeps its grace period, so that the caller can come back.
func (s *Sidecar) checkStalled() {
	for _, r := range s.runs.all() {
		state := r.log.Snapshot(0)
		if state.Phase != generation.Running || state.Count == r.emitted || time.Since(state.Last) < stallTimeout {
			continue
		}
		givenUp := !r.mayBeRead() && r.log.Lose(errStalled)
		if givenUp {
			r.cancel()
		}
		if givenUp || r.isNewStall(state.Count) {
			s.opts.Recorder.Emit(eventStalled, event.FieldRequest, r.request, "generation", r.log.ID(), "tokens", state.Count, "given_up", givenUp)
		}
	}
}

// markLost marks a run as lost to a death of the engine and records the death against the
// run's request. It returns false if the run had already ended.
func (s *Sidecar) markLost(r *run, d death) bool {
	if r.log.Snapshot(0).Phase != generation.Running {
		return false
	}
	r.setDeath(d)
	if s.opts.Suspects != nil {
		s.opts.Suspects.RecordWeightedDeath(d.id, r.fingerprint, r.isProven())
	}
	lost := r.log.Lose(engine.ErrConnectionLost)
	r.cancel()
	return lost
}
