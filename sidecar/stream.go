package sidecar

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

func (s *Sidecar) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req streampb.GenerateRequest
	if err := streampb.NewReader(r.Body).Read(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := newFrameWriter(w)
	running, refused := s.start(&req)
	if refused != nil {
		out.writeRefusal(refused)
		return
	}
	s.follow(r.Context(), out, running, len(req.GetEmitted()))
}

func (s *Sidecar) serveAttach(w http.ResponseWriter, r *http.Request) {
	var req streampb.AttachRequest
	if err := streampb.NewReader(r.Body).Read(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out := newFrameWriter(w)
	id, err := types.ParseGenerationID(req.GetGeneration())
	if err != nil {
		out.writeRefusal(&refusal{code: types.CodeBadRequest, message: err.Error()})
		return
	}
	running := s.runs.bestAttempt(id, types.AttemptTag(req.GetAttempt()), int(req.GetFrom()))
	if running == nil {
		out.writeRefusal(&refusal{code: types.CodeGenerationLost, message: "not held here"})
		return
	}
	// The reader gets the answer from its first token on, because it needs all tokens to
	// resume elsewhere if this engine dies too.
	s.follow(r.Context(), out, running, 0)
}

// follow writes a run's frames, starting at token index from, until the run ends or the
// reader disconnects.
func (s *Sidecar) follow(ctx context.Context, out *frameWriter, r *run, from int) {
	added := r.addReader(peer.Sender(ctx).ID)
	defer r.removeReader(added, s.opts.Recovery().RouterGrace, func() { s.cancelOrphan(r) })
	accepted := &streampb.Accepted{Lineage: streampb.FromLineage(r.log.Lineage()), Incarnation: uint64(s.opts.Peer.Self().Incarnation)}
	if out.write(&streampb.Frame{Body: &streampb.Frame_Accepted{Accepted: accepted}, Load: s.loadFrame()}) != nil {
		return
	}
	heartbeat := time.NewTicker(streampb.HeartbeatInterval)
	defer heartbeat.Stop()
	moveSent := false
	for {
		state := r.log.Snapshot(from)
		if s.writeTokens(out, r, state, from) != nil {
			return
		}
		from = state.Count
		if state.Phase != generation.Running {
			_ = out.write(s.lastFrame(r, state))
			return
		}
		if state.Moving && !moveSent {
			moveSent = true
			if out.write(&streampb.Frame{Body: &streampb.Frame_Moving{Moving: &streampb.Moving{}}}) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-state.Changed:
		case <-heartbeat.C:
			if out.write(s.heartbeatFrame()) != nil {
				return
			}
		}
	}
}

func (s *Sidecar) writeTokens(out *frameWriter, r *run, state generation.State, from int) error {
	if len(state.Tokens) == 0 {
		return nil
	}
	return out.write(&streampb.Frame{Body: &streampb.Frame_Tokens{Tokens: &streampb.Tokens{
		First:   uint32(from),
		Attempt: uint32(r.log.Lineage().Last()),
		Tokens:  streampb.FromTokens(state.Tokens),
	}}})
}

// lastFrame returns the frame that ends the stream of a run that is no longer running.
func (s *Sidecar) lastFrame(r *run, state generation.State) *streampb.Frame {
	frame := &streampb.Frame{Load: s.loadFrame()}
	if state.Phase == generation.Finished {
		frame.Body = &streampb.Frame_End{End: &streampb.End{
			Finish:    string(state.Finish),
			Count:     uint32(state.Count),
			Prefilled: uint32(r.getPrefilled()),
			Attempt:   uint32(r.log.Lineage().Last()),
		}}
		return frame
	}
	d := r.getDeath()
	message := "cancelled"
	if state.Cause != nil {
		message = state.Cause.Error()
	}
	frame.Body = &streampb.Frame_Lost{Lost: &streampb.Lost{Message: message, Death: d.id, Running: uint64(d.running), Proven: r.isProven()}}
	return frame
}

func (s *Sidecar) heartbeatFrame() *streampb.Frame {
	beat := &streampb.Heartbeat{Revision: uint64(s.opts.Revision())}
	return &streampb.Frame{Body: &streampb.Frame_Heartbeat{Heartbeat: beat}, Load: s.loadFrame()}
}

// loadFrame returns the newest load report, or nil if there is none that is recent enough.
func (s *Sidecar) loadFrame() *streampb.Load {
	load, age, ok := s.monitor.lastLoad()
	if !ok {
		return nil
	}
	return &streampb.Load{
		Running:      uint32(load.Running),
		Queued:       uint32(load.Queued),
		Capacity:     uint32(load.Capacity),
		CachedTokens: uint32(load.CachedTokens),
		StepMicros:   uint32(load.StepMicros),
		AgeMs:        uint32(age.Milliseconds()),
	}
}

// cancelOrphan stops a run that no router has read for the grace period: its router may
// have died, and its caller hasn't come back through another one.
func (s *Sidecar) cancelOrphan(r *run) {
	if !r.hasNoReader() || !r.log.Cancel() {
		return
	}
	r.cancel()
	s.metrics.orphaned.Inc()
	s.opts.Recorder.Emit(eventOrphaned, event.FieldRequest, r.request, "generation", r.log.ID())
}

// frameWriter writes frames and flushes each one, so that no token waits for the next.
type frameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func newFrameWriter(w http.ResponseWriter) *frameWriter {
	w.Header().Set("Content-Type", "application/x-protobuf-delimited")
	return &frameWriter{w: w, control: http.NewResponseController(w)}
}

func (f *frameWriter) write(frame proto.Message) error {
	if err := streampb.Write(f.w, frame); err != nil {
		return err
	}
	return f.control.Flush()
}

func (f *frameWriter) writeRefusal(r *refusal) {
	_ = f.write(&streampb.Frame{Body: &streampb.Frame_Refused{Refused: &streampb.Refused{
		Code:         string(r.code),
		Message:      r.message,
		RetryAfterMs: uint32(max(r.retryAfter, 0).Milliseconds()),
	}}})
}
