package entry

import (
	"fmt"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/platform"
)

// maxLoggedValues is the number of a header's values that a log line shows, each with at most
// 100 bytes: an answer may repeat a header thousands of times.
const maxLoggedValues = 4

func quoteValues(values []string) string {
	return fmt.Sprintf("%.100q", values[:min(len(values), maxLoggedValues)])
}

// reportInvalidEra logs an answer of the store whose era is not used.
func (e *Entry) reportInvalidEra(c platform.EraChange) {
	now := time.Now().UnixNano()
	last := e.invalidEraAt.Load()
	if now-last < int64(invalidEraInterval) || !e.invalidEraAt.CompareAndSwap(last, now) {
		return
	}
	e.recorder.Emit(EventInvalidEra, "era", c.Era, "known", c.Known, "values", quoteValues(c.Values))
}

// reportInvalidLimit logs a rate limit of a backend server that can't be read. It has no
// effect.
func (e *Entry) reportInvalidLimit(s *directory.Server, values []string) {
	now := time.Now().UnixNano()
	last := e.invalidLimitAt.Load()
	if now-last < int64(invalidLimitInterval) || !e.invalidLimitAt.CompareAndSwap(last, now) {
		return
	}
	e.recorder.Emit(EventInvalidLimit, "server", s.Start, "values", quoteValues(values))
}

// reportInvalidHeader logs an answer's header, other than a rate limit, that can't be read. It
// has no effect.
func (e *Entry) reportInvalidHeader(s *directory.Server, header string, values []string) {
	now := time.Now().UnixNano()
	last := e.invalidHeaderAt.Load()
	if now-last < int64(invalidLimitInterval) || !e.invalidHeaderAt.CompareAndSwap(last, now) {
		return
	}
	e.recorder.Emit(EventInvalidHeader, "server", s.Start, "header", header, "values", quoteValues(values))
}
