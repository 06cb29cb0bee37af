package admin

import (
	"context"
	"sort"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
)

// explainCaveat is part of every explanation.
const explainCaveat = "Times are corrected by each process's clock offset as estimated while asking; steps of " +
	"different processes closer together than their clock errors may have happened in the other order. " +
	"Processes that restarted or did not answer have lost or kept back their part."

// maxSteps bounds an explanation; the newest steps are kept.
const maxSteps = 5000

// Dump returns the state of one process as that process reports it.
func (s *Server) Dump(ctx context.Context, req *adminpb.DumpRequest) (*adminpb.DumpResponse, error) {
	members := s.membersNamed(req.GetProcess())
	if len(members) != 1 {
		return nil, twirp.NotFound.Errorf("%s names %d processes", req.GetProcess(), len(members))
	}
	got, err := s.peers.get(ctx, members[0], inspect.PathState, nil, stateLimit)
	if err != nil {
		return nil, twirp.Unavailable.Errorf("%s: %s", members[0].Process, err)
	}
	return &adminpb.DumpResponse{State: got.raw, Truncated: got.truncated}, nil
}

// eventsResult is the result of querying one process for its events.
type eventsResult struct {
	events inspect.Events
	clock  clockEstimate
	err    error
}

// Explain merges the events of one request from every process that responds.
func (s *Server) Explain(ctx context.Context, req *adminpb.ExplainRequest) (*adminpb.ExplainResponse, error) {
	if req.GetRequest() == "" {
		return nil, twirp.RequiredArgumentError("request")
	}
	query := func(ctx context.Context, m Member) (out eventsResult) {
		out.events, out.clock, out.err = s.peers.events(ctx, m, req.GetRequest())
		return out
	}
	resp := &adminpb.ExplainResponse{Caveat: explainCaveat}
	unanswered := 0
	err := queryAll(ctx, s.opts.Parallel, s.members(), query, func(m Member, got eventsResult) error {
		if got.err != nil {
			unanswered++
		}
		resp.Asked = append(resp.Asked, askedPB(m, got))
		resp.Steps = append(resp.Steps, stepsPB(m, got)...)
		resp.Truncated = resp.Truncated || got.events.Truncated
		return nil
	})
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	s.recordUnanswered("explain", unanswered)
	sortExplanation(resp)
	return resp, nil
}

// recordUnanswered counts the processes that did not respond, or not to every query,
// and emits an event if there are any.
func (s *Server) recordUnanswered(what string, processes int) {
	if processes == 0 {
		return
	}
	s.metrics.unanswered.Add(float64(processes))
	s.opts.Recorder.Emit(eventGatherPartial, "what", what, "unanswered", processes)
}

// sortExplanation orders steps by corrected time. The sort is stable, and the steps
// of a process are given in the order of its event buffer, so that steps of one
// process with equal times keep their order.
func sortExplanation(resp *adminpb.ExplainResponse) {
	sort.SliceStable(resp.Steps, func(i, j int) bool { return resp.Steps[i].AtUnixUs < resp.Steps[j].AtUnixUs })
	sort.Slice(resp.Asked, func(i, j int) bool { return resp.Asked[i].Process < resp.Asked[j].Process })
	if over := len(resp.Steps) - maxSteps; over > 0 {
		resp.Steps = resp.Steps[over:]
		resp.Truncated = true
	}
}

func askedPB(m Member, got eventsResult) *adminpb.Asked {
	out := &adminpb.Asked{
		Process:       string(m.Process),
		ClockOffsetUs: got.clock.offset.Microseconds(),
		ClockErrorUs:  got.clock.maxError.Microseconds(),
		Overwritten:   got.events.Overwritten,
	}
	if got.err != nil {
		out.Error = got.err.Error()
	}
	return out
}

func stepsPB(m Member, got eventsResult) []*adminpb.Step {
	out := make([]*adminpb.Step, len(got.events.Entries))
	for i, entry := range got.events.Entries {
		out[i] = stepPB(m, entry, got.clock.offset)
	}
	return out
}

func stepPB(m Member, entry event.Entry, offset time.Duration) *adminpb.Step {
	step := &adminpb.Step{
		AtUnixUs:        entry.At.Add(-offset).UnixMicro(),
		ProcessAtUnixUs: entry.At.UnixMicro(),
		Process:         string(m.Process),
		Event:           entry.ID,
		Name:            entry.Name,
		Level:           string(entry.Level),
	}
	for name, value := range entry.Fields {
		if name != event.FieldRequest {
			step.Fields = append(step.Fields, &adminpb.Field{Name: name, Value: value})
		}
	}
	sort.Slice(step.Fields, func(i, j int) bool { return step.Fields[i].Name < step.Fields[j].Name })
	return step
}
