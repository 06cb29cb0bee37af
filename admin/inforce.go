package admin

import (
	"context"
	"sort"
	"time"

	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// pollInterval is the pause between two rounds of querying the processes that are
// behind.
const pollInterval = 100 * time.Millisecond

// WaitInForce waits until an accepted revision is in force in every process.
func (s *Server) WaitInForce(ctx context.Context, req *adminpb.InForceRequest) (*adminpb.InForce, error) {
	return s.waitInForce(ctx, types.Revision(req.GetRevision()), waitLimit(req.GetWaitMs())), nil
}

// waitInForce waits until every process has the revision in force, at most for the
// given time, and lists the processes that are behind. It returns early once only
// dead processes are behind: waiting for them is useless.
//
// The revision that the membership has for a process lags. Processes that seem behind
// are queried directly, so that slow gossip isn't taken for slow distribution of the
// configuration.
func (s *Server) waitInForce(ctx context.Context, revision types.Revision, timeout time.Duration) *adminpb.InForce {
	started := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	confirmed := map[types.ProcessID]types.Revision{}
	for {
		result, retry := s.checkInForce(ctx, revision, confirmed)
		if len(result.GetBehind()) == 0 {
			s.metrics.inForce.Observe(s.opts.Now().Sub(started).Seconds())
			return result
		}
		if retry && sleep(ctx, pollInterval) {
			continue
		}
		s.opts.Recorder.Emit(eventNotInForce, "revision", revision, "behind", len(result.GetBehind()),
			"first", result.GetBehind()[0].GetProcess())
		return result
	}
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkInForce checks all processes once. retry is whether a process is behind that
// isn't dead.
func (s *Server) checkInForce(ctx context.Context, revision types.Revision, confirmed map[types.ProcessID]types.Revision) (result *adminpb.InForce, retry bool) {
	members := s.members()
	var behind []Member
	for _, m := range members {
		if max(m.Revision, confirmed[m.Process]) < revision {
			behind = append(behind, m)
		}
	}
	result = &adminpb.InForce{Processes: uint32(len(members))}
	query := func(ctx context.Context, m Member) revisionResult { return s.queryRevision(ctx, m) }
	queried := map[types.ProcessID]bool{}
	_ = queryAll(ctx, s.opts.Parallel, behind, query, func(m Member, got revisionResult) error {
		queried[m.Process] = true
		confirmed[m.Process] = max(confirmed[m.Process], got.revision)
		if confirmed[m.Process] < revision {
			result.Behind = append(result.Behind, behindPB(m, confirmed[m.Process], got.err))
			retry = retry || m.State != StateDead
		}
		return nil
	})
	for _, m := range behind {
		if !queried[m.Process] { // ctx ended first
			result.Behind = append(result.Behind, behindPB(m, confirmed[m.Process], ctx.Err()))
		}
	}
	sort.Slice(result.Behind, func(i, j int) bool { return result.Behind[i].Process < result.Behind[j].Process })
	result.InForce = result.Processes - uint32(len(result.Behind))
	return result, retry
}

func behindPB(m Member, confirmed types.Revision, err error) *adminpb.Behind {
	out := &adminpb.Behind{Process: string(m.Process), State: string(m.State), Revision: uint64(max(m.Revision, confirmed))}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}

// revisionResult is the result of querying one process for its revision.
type revisionResult struct {
	revision types.Revision
	err      error
}

// queryRevision queries a process for the revision in force. A response of another
// process that has taken over the address is an error, except for an absent member, of
// which only the address is known.
func (s *Server) queryRevision(ctx context.Context, m Member) revisionResult {
	var version inspect.Version
	err := s.peers.getJSON(ctx, m, inspect.PathVersion, nil, versionLimit, &version)
	if err != nil {
		return revisionResult{err: err}
	}
	if m.State != StateAbsent && version.Process != m.Process {
		return revisionResult{err: wrongProcessError(version.Process)}
	}
	return revisionResult{revision: version.Revision}
}
