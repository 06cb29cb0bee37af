package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pearyard/pearyard/inspect"
)

// collected is what one process answered for a bundle.
type collected struct {
	files     []collectedFile
	failed    map[string]string
	truncated []string
	clock     clock
}

type collectedFile struct {
	name string
	raw  []byte
}

// sources are asked in the order of their worth: a process that hangs half way
// has given the more telling half.
var sources = []struct {
	file  string
	path  string
	limit int64
}{
	{fileVersion, inspect.PathVersion, versionLimit},
	{fileEvents, inspect.PathEvents, eventsLimit},
	{fileState, inspect.PathState, stateLimit},
	{fileGoroutines, inspect.PathGoroutines, goroutinesLimit},
	{fileMetrics, inspect.PathMetrics, metricsLimit},
}

// collect asks one process for all its files. They share one timeout: a process
// that hangs costs one wait, not one for each file.
func (s *Server) collect(ctx context.Context, m Member) collected {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	out := collected{failed: map[string]string{}}
	for _, source := range sources {
		sent := s.opts.Now()
		got, err := s.peers.get(ctx, m, source.path, nil, source.limit)
		if err != nil {
			out.failed[source.file] = err.Error()
			continue
		}
		if got.truncated {
			out.truncated = append(out.truncated, source.file)
		}
		if source.file == fileEvents {
			out.clock = clockOf(sent, s.opts.Now(), got.raw)
		}
		out.files = append(out.files, collectedFile{name: source.file, raw: got.raw})
	}
	return out
}

// clockOf reads the process's time from its events; it is zero if they don't parse.
func clockOf(sent, received time.Time, events []byte) clock {
	var head struct {
		Now time.Time `json:"now"`
	}
	if json.Unmarshal(events, &head) != nil {
		return clock{}
	}
	return estimate(sent, received, head.Now)
}
