package sidecar

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/inspect"
)

// BeginLeave closes the sidecar to new work. What runs is finished; what still
// runs after the drain time is asked to move. It is safe to call many times.
func (s *Sidecar) BeginLeave(reason string) {
	if !s.admission.leave() {
		return
	}
	s.leftAt.Store(time.Now().UnixNano())
	close(s.stopping)
	s.opts.Recorder.Emit(eventLeaving, "backend_server", s.opts.BackendServer, "reason", reason, "in_flight", s.InFlight())
	if s.opts.OnLeaving != nil {
		s.opts.OnLeaving()
	}
	time.AfterFunc(s.opts.Dial().DrainLong, s.moveRunning)
}

// Stopping is closed when the backend server begins to leave.
func (s *Sidecar) Stopping() <-chan struct{} { return s.stopping }

// Drained returns when nothing is inside any more, or ctx ends.
func (s *Sidecar) Drained(ctx context.Context) error {
	if err := s.admission.wait(ctx); err != nil {
		return err
	}
	s.opts.Recorder.Emit(eventDrained, "backend_server", s.opts.BackendServer)
	return nil
}

// moveRunning asks the readers of what still runs to resume elsewhere. A run
// whose reader finds no other place goes on here: a stop never cuts it.
func (s *Sidecar) moveRunning() {
	for _, r := range s.runs.all() {
		if r.log.Snapshot(0).Phase != generation.Running {
			continue
		}
		s.opts.Recorder.Emit(eventMoving, event.FieldRequest, r.request, "generation", r.log.ID())
		r.log.RequestMove()
	}
}

// Drain says how a planned stop goes.
func (s *Sidecar) Drain() inspect.Drain {
	drain := inspect.Drain{Active: s.admission.isLeaving(), Streams: s.InFlight()}
	if at := s.leftAt.Load(); at != 0 {
		drain.Since = time.Unix(0, at)
	}
	for _, r := range s.runs.all() {
		if r.log.Snapshot(0).Phase == generation.Running {
			drain.Longest = max(drain.Longest, time.Since(r.started))
		}
	}
	return drain
}

// Dump returns the state for an operator, without prompts or tokens.
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
