package admin

import (
	"context"
	"encoding/json"
	"net/url"
	"sort"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/inspect"
	adminpb "github.com/pearyard/pearyard/rpc/admin"
	"github.com/pearyard/pearyard/types"
)

// States of a drain.
const (
	drainActive  = "draining"
	drainDone    = "done"    // draining, with no streams left
	drainUnknown = "unknown" // not draining, or the process could not be queried
)

// wrongProcessError reports that the member's address now belongs to another process.
func wrongProcessError(got types.ProcessID) error {
	return errors.Errorf("the address answers as %q", got)
}

// drains queries each leaving process for its progress.
func (s *Server) drains(ctx context.Context, members []Member) []*adminpb.Drain {
	var leaving []Member
	for _, m := range members {
		if m.State == StateLeaving {
			leaving = append(leaving, m)
		}
	}
	var out []*adminpb.Drain
	_ = queryAll(ctx, s.opts.Parallel, leaving, s.queryDrain, func(_ Member, drain *adminpb.Drain) error {
		out = append(out, drain)
		return nil
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Process < out[j].Process })
	return out
}

// queryDrain queries one process; an error is part of the result.
func (s *Server) queryDrain(ctx context.Context, m Member) *adminpb.Drain {
	out := &adminpb.Drain{Process: string(m.Process), State: drainUnknown}
	drain, err := s.fetchDrain(ctx, m)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	if drain.Active {
		out.State = drainActive
		if drain.Streams == 0 {
			out.State = drainDone
		}
	}
	out.Streams = uint32(drain.Streams)
	out.LongestMs = drain.Longest.Milliseconds()
	out.SinceUnixMs = unixMilli(drain.Since)
	return out
}

func (s *Server) fetchDrain(ctx context.Context, m Member) (inspect.Drain, error) {
	var state inspect.State
	query := url.Values{inspect.ParamSection: {inspect.SectionDrain}}
	err := s.peers.getJSON(ctx, m, inspect.PathState, query, stateLimit, &state)
	if err != nil {
		return inspect.Drain{}, err
	}
	if state.Process != m.Process {
		return inspect.Drain{}, wrongProcessError(state.Process)
	}
	section, ok := state.Sections[inspect.SectionDrain]
	if !ok || section.Error != "" {
		return inspect.Drain{}, errors.Errorf("no section %q: %s", inspect.SectionDrain, section.Error)
	}
	var drain inspect.Drain
	return drain, errors.Wrap(json.Unmarshal(section.Value, &drain), "drain")
}
