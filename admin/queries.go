package admin

import (
	"context"
	"sort"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// Get returns a revision, by default the newest. If the store is unavailable, it
// returns the revision in force in this router instead of the newest, and the response
// says so.
func (s *Server) Get(ctx context.Context, req *adminpb.GetRequest) (*adminpb.GetResponse, error) {
	if req.GetRevision() != 0 {
		config, err := s.opts.Store.Load(ctx, types.Revision(req.GetRevision()))
		if err != nil {
			return nil, s.queryError(err)
		}
		return &adminpb.GetResponse{Revision: revisionPB(config)}, nil
	}
	config, fallback, err := s.newest(ctx)
	if err != nil {
		return nil, s.queryError(err)
	}
	return &adminpb.GetResponse{Revision: revisionPB(config), StoreUnavailable: fallback}, nil
}

// newest returns the newest accepted revision. If the store does not respond, it
// returns the revision in force here, and fallback is true.
func (s *Server) newest(ctx context.Context) (config ConfigRevision, fallback bool, err error) {
	history, err := s.opts.Store.History(ctx, 1)
	if err == nil && len(history) == 0 {
		return ConfigRevision{}, false, ErrNoRevision
	}
	if err == nil {
		config, err = s.opts.Store.Load(ctx, history[0].Revision)
	}
	if err == nil {
		return config, false, nil
	}
	inForce := s.opts.InForce()
	if inForce.Revision == 0 {
		return ConfigRevision{}, true, err
	}
	return inForce, true, nil
}

// History lists accepted revisions, newest first, without the configurations.
func (s *Server) History(ctx context.Context, req *adminpb.HistoryRequest) (*adminpb.HistoryResponse, error) {
	history, err := s.opts.Store.History(ctx, historyLimit(req.GetLimit()))
	if err != nil {
		return nil, s.queryError(err)
	}
	resp := &adminpb.HistoryResponse{}
	for _, config := range history {
		config.Raw = nil
		resp.Revisions = append(resp.Revisions, revisionPB(config))
	}
	return resp, nil
}

func historyLimit(limit uint32) int {
	if limit == 0 {
		return DefaultHistory
	}
	return int(min(limit, MaxHistory))
}

// Diff compares two revisions, or a revision and a configuration that was not applied.
func (s *Server) Diff(ctx context.Context, req *adminpb.DiffRequest) (*adminpb.DiffResponse, error) {
	from, err := s.revisionOrNewest(ctx, req.GetFrom())
	if err != nil {
		return nil, s.queryError(err)
	}
	to := ConfigRevision{Raw: req.GetToText()}
	if len(to.Raw) == 0 {
		to, err = s.revisionOrNewest(ctx, req.GetTo())
	}
	if err != nil {
		return nil, s.queryError(err)
	}
	return &adminpb.DiffResponse{Diff: s.opts.Diff(from, to)}, nil
}

func (s *Server) revisionOrNewest(ctx context.Context, revision uint64) (ConfigRevision, error) {
	if revision != 0 {
		return s.opts.Store.Load(ctx, types.Revision(revision))
	}
	config, _, err := s.newest(ctx)
	return config, err
}

// Status returns this router's view of the members, quarantines and drains.
func (s *Server) Status(ctx context.Context, req *adminpb.StatusRequest) (*adminpb.StatusResponse, error) {
	members := s.members()
	if req.GetName() != "" {
		members = s.membersNamed(req.GetName())
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Process < members[j].Process })
	resp := &adminpb.StatusResponse{
		Process:     string(s.opts.Process),
		Revision:    uint64(s.opts.InForce().Revision),
		Quarantines: quarantinesPB(s.opts.Quarantines()),
		Drains:      s.drains(ctx, members),
	}
	for _, m := range members {
		resp.Members = append(resp.Members, memberPB(m, s.opts.Now()))
	}
	return resp, nil
}

// queryError converts an error to a twirp error.
func (s *Server) queryError(err error) error {
	if errors.Is(err, ErrNoRevision) || errors.Is(err, ErrNotFound) {
		return twirp.NotFound.Error(err.Error())
	}
	return twirp.Unavailable.Error(err.Error())
}
