package admin

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"github.com/pearyard/pearyard/findings"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// Apply submits a configuration. Findings and a lost race are part of the response,
// not errors.
func (s *Server) Apply(ctx context.Context, req *adminpb.ApplyRequest) (*adminpb.ApplyResponse, error) {
	if len(req.GetText()) == 0 {
		return nil, twirp.RequiredArgumentError("text")
	}
	if len(req.GetText()) > MaxConfigBytes {
		return nil, twirp.InvalidArgumentError("text", "is too large")
	}
	change := Change{Base: types.Revision(req.GetBase()), Raw: req.GetText(), Who: req.GetWho(), Note: req.GetNote()}
	revision, warnings, err := s.opts.Store.Accept(ctx, change)
	if err != nil {
		return s.applyFailure(ctx, change, err)
	}
	s.metrics.applies.WithLabelValues(resultAccepted).Inc()
	s.opts.Recorder.Emit(eventAccepted, "revision", revision, "base", change.Base, "who", change.Who, "note", change.Note)
	resp := &adminpb.ApplyResponse{Revision: uint64(revision), Findings: findingsPB(warnings)}
	if req.GetWait() {
		resp.InForce = s.waitInForce(ctx, revision, waitLimit(req.GetWaitMs()))
	}
	return resp, nil
}

// applyFailure maps the error of an apply to a response or a twirp error.
func (s *Server) applyFailure(ctx context.Context, change Change, err error) (*adminpb.ApplyResponse, error) {
	var found *findings.ListError
	var race *RaceError
	switch {
	case errors.As(err, &found):
		s.metrics.applies.WithLabelValues(resultFindings).Inc()
		s.opts.Recorder.Emit(eventRefused, "base", change.Base, "who", change.Who, "findings", len(found.Findings))
		return &adminpb.ApplyResponse{Findings: findingsPB(found.Findings)}, nil
	case errors.As(err, &race):
		s.metrics.applies.WithLabelValues(resultRace).Inc()
		s.opts.Recorder.Emit(eventRace, "base", change.Base, "who", change.Who,
			"winner", race.Winner.Revision, "winner_who", race.Winner.Who)
		return &adminpb.ApplyResponse{Race: s.racePB(ctx, change.Base, race)}, nil
	case errors.Is(err, ErrAmbiguous):
		s.metrics.applies.WithLabelValues(resultAmbiguous).Inc()
		s.opts.Recorder.Emit(eventAmbiguous, "base", change.Base, "who", change.Who)
		return nil, twirp.NewError(twirp.Unknown, err.Error()).WithMeta(metaAmbiguous, "true")
	default:
		s.metrics.applies.WithLabelValues(resultError).Inc()
		return nil, twirp.Unavailable.Errorf("not accepted: %s", err)
	}
}

// metaAmbiguous marks an error after which the command may have taken effect.
const metaAmbiguous = "ambiguous"

// racePB describes the winner and what it changed. The diff is left out if the
// configurations can't be read; the race is reported nevertheless.
func (s *Server) racePB(ctx context.Context, base types.Revision, race *RaceError) *adminpb.Race {
	winner := race.Winner
	if winner.Raw == nil {
		loaded, err := s.opts.Store.Load(ctx, winner.Revision)
		if err != nil {
			return &adminpb.Race{Winner: revisionPB(winner), Diff: race.Diff}
		}
		winner = loaded
	}
	out := &adminpb.Race{Winner: revisionPB(winner), Diff: race.Diff}
	if out.GetDiff() != "" {
		return out
	}
	if from, err := s.loadRevision(ctx, base); err == nil {
		out.Diff = s.opts.Diff(from, winner)
	}
	return out
}

// loadRevision returns a revision; revision 0 is the empty configuration before the
// first.
func (s *Server) loadRevision(ctx context.Context, revision types.Revision) (ConfigRevision, error) {
	if revision == 0 {
		return ConfigRevision{}, nil
	}
	return s.opts.Store.Load(ctx, revision)
}

func waitLimit(ms int64) time.Duration {
	if ms <= 0 {
		return DefaultWait
	}
	return min(time.Duration(ms)*time.Millisecond, MaxWait)
}

// Stop starts a planned stop of the named process and returns its progress.
func (s *Server) Stop(ctx context.Context, req *adminpb.StopRequest) (*adminpb.StopResponse, error) {
	member, err := s.findStoppable(req)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	inFlight, err := s.opts.Stopper.Stop(ctx, member, req.GetWho())
	if err != nil {
		s.opts.Recorder.Emit(eventStopFailed, "process", member.Process, "who", req.GetWho(), "err", err)
		return nil, twirp.Unavailable.Errorf("stop of %s: %s", member.Process, err)
	}
	s.opts.Recorder.Emit(eventStop, "process", member.Process, "who", req.GetWho(), "in_flight", inFlight)
	drain := s.queryDrain(ctx, member)
	if drain.GetState() == drainUnknown {
		drain.Streams = uint32(inFlight)
	}
	return &adminpb.StopResponse{Drain: drain}, nil
}

func (s *Server) findStoppable(req *adminpb.StopRequest) (Member, error) {
	role := map[adminpb.Kind]types.Role{
		adminpb.Kind_KIND_BACKEND: types.RoleSidecar,
		adminpb.Kind_KIND_ROUTER:  types.RoleRouter,
	}[req.GetKind()]
	if role == "" {
		return Member{}, twirp.InvalidArgumentError("kind", "must be a backend server or a router")
	}
	var found []Member
	for _, m := range s.membersNamed(req.GetName()) {
		if m.Role == role && m.State != StateDead && m.State != StateAbsent {
			found = append(found, m)
		}
	}
	switch len(found) {
	case 0:
		return Member{}, twirp.NotFound.Errorf("%s: %s", req.GetName(), ErrNotFound)
	case 1:
		return found[0], nil
	default:
		return Member{}, twirp.FailedPrecondition.Errorf("%s names %d processes; name one", req.GetName(), len(found))
	}
}
