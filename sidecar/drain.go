package sidecar

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/inspect"
)

// BeginDrain stops accepting new work. Running work is finished; generations that still
// run after RecoverySettings.MoveAfter are asked to move to another backend server. Only
// the first call has an effect.
func (s *Sidecar) BeginDrain(reason string) {
	if !s.admission.drain() {
		return
	}
	s.drainStarted.Store(time.Now().UnixNano())
	close(s.stopping)
	s.opts.Recorder.Emit(eventLeaving, "backend_server", s.opts.BackendServer, "reason", reason, "in_flight", s.InFlight())
	if s.opts.OnDrain != nil {
		s.opts.OnDrain()
	}
	time.AfterFunc(s.opts.Recovery().MoveAfter, s.requestMoves)
}

// Stopping returns a channel that is closed when the backend server begins to drain.
func (s *Sidecar) Stopping() <-chan struct{} { return s.stopping }

// Drained returns when nothing is in flight any more, or with ctx's error.
func (s *Sidecar) Drained(ctx context.Context) error {
	if err := s.admission.wait(ctx); err != nil {
		return err
	}
	s.opts.Recorder.Emit(eventDrained, "backend_server", s.opts.BackendServer)
	return nil
}

// requestMoves asks the readers of running generations to resume them elsewhere. A run
// whose reader finds no other backend server continues here: a planned stop never
// interrupts it.
func (s *Sidecar) requestMoves() {
	for _, r := range s.runs.all() {
		if r.log.Snapshot(0).Phase != generation.Running {
			continue
		}
		s.opts.Recorder.Emit(eventMoving, event.FieldRequest, r.request, "generation", r.log.ID())
		r.log.RequestMove()
	}
}

// Drain reports the progress of a planned stop.
func (s *Sidecar) Drain() inspect.Drain {
	drain := inspect.Drain{Active: s.admission.isDraining(), Streams: s.InFlight()}
	if at := s.drainStarted.Load(); at != 0 {
		drain.Since = time.Unix(0, at)
	}
	for _, r := range s.runs.all() {
		if r.log.Snapshot(0).Phase == generation.Running {
			drain.Longest = max(drain.Longest, time.Since(r.started))
		}
	}
	return drain
}

// Dump returns the sidecar's state for operators, without prompts or tokens.
func (s *Sidecar) Dump() any {
	type runDump struct {
		Generation string
		Request    string
		Tokens     int
		Phase      string
		Suspect    bool
		AgeSeconds float64
	}
	dump := struct {
		BackendServer string
		State         string
		InFlight      int
		Runs          []runDump
	}{BackendServer: s.opts.BackendServer, State: s.stateName(), InFlight: s.InFlight()}
	for _, r := range s.runs.all() {
		state := r.log.Snapshot(0)
		dump.Runs = append(dump.Runs, runDump{r.log.ID().String(), string(r.request), state.Count, state.Phase.String(), r.suspect, time.Since(r.started).Seconds()})
	}
	return dump
}
