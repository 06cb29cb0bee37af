package sidecar

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// service implements streampb.Sidecar.
type service struct{ s *Sidecar }

// Call runs one call of the plain service with at-most-once semantics (package gate). The
// response carries the ID of its request.
func (v service) Call(ctx context.Context, req *streampb.CallRequest) (*streampb.CallResponse, error) {
	resp := v.s.call(ctx, req)
	resp.RequestId = req.GetRequestId()
	return resp, nil
}

func (s *Sidecar) call(ctx context.Context, req *streampb.CallRequest) *streampb.CallResponse {
	if s.calls == nil {
		return notRun(types.CodeUnknownService, "no plain service here")
	}
	if !s.admission.enter() {
		return notRun(types.CodeLeaving, "backend server is leaving")
	}
	defer s.admission.exit()
	resp := s.calls.Call(ctx, req)
	resp.Load = s.loadFrame()
	return resp
}

// Void requests that an attempt never run; see package gate.
func (v service) Void(ctx context.Context, req *streampb.VoidRequest) (*streampb.CallResponse, error) {
	if v.s.calls == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "no plain service here")
	}
	return v.s.calls.Void(ctx, req), nil
}

// Seen reports whether an attempt under a claim's key ran here.
func (v service) Seen(_ context.Context, req *streampb.SeenRequest) (*streampb.SeenResponse, error) {
	return &streampb.SeenResponse{Ran: v.s.calls != nil && v.s.calls.Ran(req.GetClaimKey())}, nil
}

// Cancel stops an attempt that its router no longer needs, unless another router reads it.
//
// It guards against a router that was frozen, finds its caller gone when it resumes, and
// cancels, while the caller already reads the same attempt through another router. The
// caller would see a needless pause and an engine would repeat the work.
func (v service) Cancel(ctx context.Context, req *streampb.CancelRequest) (*streampb.CancelResponse, error) {
	id, err := types.ParseGenerationID(req.GetGeneration())
	if err != nil {
		return nil, twirp.InvalidArgumentError("generation", err.Error())
	}
	r := v.s.runs.get(runKey{id, types.AttemptTag(req.GetAttempt())})
	if r == nil {
		return &streampb.CancelResponse{}, nil
	}
	return v.s.cancel(r, peer.Sender(ctx).ID), nil
}

func (s *Sidecar) cancel(r *run, router types.ProcessID) *streampb.CancelResponse {
	if r.removeReadersOf(router) {
		return &streampb.CancelResponse{}
	}
	wasRunning := r.log.Cancel()
	r.cancel()
	return &streampb.CancelResponse{WasRunning: wasRunning}
}

// Append stores tokens of generations that run elsewhere.
func (v service) Append(_ context.Context, req *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	if v.s.opts.Journal == nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, "no journal here")
	}
	return v.s.opts.Journal.Append(req), nil
}

// Lookup reports what is known of a generation. A run on this sidecar takes precedence
// over the journal.
func (v service) Lookup(_ context.Context, req *streampb.LookupRequest) (*streampb.LookupResponse, error) {
	if id, err := types.ParseGenerationID(req.GetGeneration()); err == nil {
		if r := v.s.runs.bestAttempt(id, 0, 0); r != nil {
			return v.s.describe(r), nil
		}
	}
	if v.s.opts.Journal == nil {
		return &streampb.LookupResponse{}, nil
	}
	resp, err := v.s.opts.Journal.Lookup(req)
	if err != nil {
		return nil, twirp.InvalidArgumentError("reserve", err.Error())
	}
	return resp, nil
}

func (s *Sidecar) describe(r *run) *streampb.LookupResponse {
	state := r.log.Snapshot(0)
	resp := &streampb.LookupResponse{
		Found:      true,
		Generation: r.log.ID().String(),
		Lineage:    streampb.FromLineage(r.log.Lineage()),
		Tokens:     streampb.FromTokens(state.Tokens),
		Finish:     string(state.Finish),
	}
	// A lost log is complete up to the engine's death, so a router can resume from it.
	if state.Phase != generation.Cancelled {
		resp.Runner = s.opts.Peer.Self().Address
	}
	return resp
}

// Stop begins a planned stop and returns the number of requests in flight.
func (v service) Stop(_ context.Context, req *streampb.StopRequest) (*streampb.StopResponse, error) {
	v.s.BeginDrain(req.GetReason())
	return &streampb.StopResponse{InFlight: uint32(v.s.InFlight())}, nil
}

// Status reports the state of the backend server.
func (v service) Status(context.Context, *streampb.StatusRequest) (*streampb.StatusResponse, error) {
	self := v.s.opts.Peer.Self()
	return &streampb.StatusResponse{
		Process:       string(self.ID),
		Incarnation:   uint64(self.Incarnation),
		Zone:          string(v.s.opts.Zone),
		BackendServer: v.s.opts.BackendServer,
		State:         v.s.stateName(),
		Revision:      uint64(v.s.opts.Revision()),
		Load:          v.s.loadFrame(),
	}, nil
}

func (s *Sidecar) stateName() string {
	switch {
	case s.admission.isDraining():
		return "leaving"
	case s.monitor.isDown():
		return "engine-down"
	default:
		return "serving"
	}
}

// notRun returns the response to a call that did not run here.
func notRun(code types.Code, message string) *streampb.CallResponse {
	return &streampb.CallResponse{Outcome: streampb.CallOutcome_CALL_NOT_RUN, Code: string(code), Message: message}
}
