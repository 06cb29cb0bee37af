package admin

import (
	"context"
	"sort"
	"time"

	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// pollInterval is the pause between two rounds of asking those behind.
const pollInterval = 100 * time.Millisecond

// WaitInForce waits for a revision that was accepted before.
func (s *Server) WaitInForce(ctx context.Context, req *adminpb.InForceRequest) (*adminpb.InForce, error) {
	return s.waitInForce(ctx, types.Revision(req.GetRevision()), waitBound(req.GetWaitMs())), nil
}

// waitInForce waits until every process has the revision in force, within the
// bound, and names those that don't. It ends early once only dead processes are
// behind: they are named, but waiting for them is of no use.
//
// What membership knows of a process's revision lags; those that seem behind are
// asked directly, so that a slow rumour doesn't pass for a slow configuration.
func (s *Server) waitInForce(ctx context.Context, revision types.Revision, bound time.Duration) *adminpb.InForce {
	started := s.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	confirmed := map[types.ProcessID]types.Revision{}
	for {
		result, waitFor := s.inForceRound(ctx, revision, confirmed)
		if len(result.GetBehind()) == 0 {
			s.metrics.inForce.Observe(s.opts.Now().Sub(started).Seconds())
			return result
		}
		if waitFor && pause(ctx, pollInterval) {
			continue
		}
		s.opts.Recorder.Emit(eventNotInForce, "revision", revision, "behind", len(result.GetBehind()),
			"first", result.GetBehind()[0].GetProcess())
		return result
	}
}

// pause returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// inForceRound counts once; waitFor says that a process which isn't dead is behind.
func (s *Server) inForceRound(ctx context.Context, revision types.Revision, confirmed map[types.ProcessID]types.Revision) (result *adminpb.InForce, waitFor bool) {
	members := s.members()
	var behind []Member
	for _, m := range members {
		if max(m.Revision, confirmed[m.Process]) < revision {
			behind = append(behind, m)
		}
	}
	result = &adminpb.InForce{Processes: uint32(len(members))}
	ask := func(ctx context.Context, m Member) versionAnswer { return s.version(ctx, m) }
	asked := map[types.ProcessID]bool{}
	_ = gather(ctx, s.opts.Parallel, behind, ask, func(m Member, got versionAnswer) error {
		asked[m.Process] = true
		confirmed[m.Process] = max(confirmed[m.Process], got.revision)
		if confirmed[m.Process] < revision {
			result.Behind = append(result.Behind, behindPB(m, confirmed[m.Process], got.err))
			waitFor = waitFor || m.State != StateDead
		}
		return nil
	})
	for _, m := range behind {
		if !asked[m.Process] { // the bound ended the round first
			result.Behind = append(result.Behind, behindPB(m, confirmed[m.Process], ctx.Err()))
		}
	}
	sort.Slice(result.Behind, func(i, j int) bool { return result.Behind[i].Process < result.Behind[j].Process })
	result.InForce = result.Processes - uint32(len(result.Behind))
	return result, waitFor
}

func behindPB(m Member, confirmed types.Revision, err error) *adminpb.Behind {
	out := &adminpb.Behind{Process: string(m.Process), State: string(m.State), Revision: uint64(max(m.Revision, confirmed))}
	if err != nil {
		out.Error = err.Error()
	}
	return out
}

// versionAnswer is what came of asking one process for its revision.
type versionAnswer struct {
	revision types.Revision
	err      error
}

// version asks a process for the revision in force. An answer of another process
// that has taken over the address doesn't count; of an absent one only the
// address is known.
func (s *Server) version(ctx context.Context, m Member) versionAnswer {
	var version inspect.Version
	err := s.peers.getJSON(ctx, m, inspect.PathVersion, nil, versionLimit, &version)
	if err != nil {
		return versionAnswer{err: err}
	}
	if m.State != StateAbsent && version.Process != m.Process {
		return versionAnswer{err: wrongProcess(version.Process)}
	}
	return versionAnswer{revision: version.Revision}
}
