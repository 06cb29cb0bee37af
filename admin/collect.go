package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pearyard/pearyard/inspect"
)

// processFiles holds the files of one process for a bundle.
type processFiles struct {
	files     []collectedFile
	failed    map[string]string // file to the reason why it is missing
	truncated []string          // files cut at their size limit
	clock     clockEstimate
}

type collectedFile struct {
	name string
	raw  []byte
}

// fileSources are fetched in order of their value for a diagnosis, so that a process
// that hangs midway has delivered the more useful files.
var fileSources = []struct {
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

// collectFiles fetches all files of one process. They share one timeout, so that a
// process that hangs costs one timeout and not one per file.
func (s *Server) collectFiles(ctx context.Context, m Member) processFiles {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timeout)
	defer cancel()
	out := processFiles{failed: map[string]string{}}
	for _, source := range fileSources {
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
			out.clock = clockFromEvents(sent, s.opts.Now(), got.raw)
		}
		out.files = append(out.files, collectedFile{name: source.file, raw: got.raw})
	}
	return out
}

// clockFromEvents estimates the process's clock from the time in its events
// response. The estimate is zero if that can't be parsed.
func clockFromEvents(sent, received time.Time, events []byte) clockEstimate {
	var head struct {
		Now time.Time `json:"now"`
	}
	if json.Unmarshal(events, &head) != nil {
		return clockEstimate{}
	}
	return estimateClock(sent, received, head.Now)
}
