package exchange

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/types"
)

const (
	// runningLogInterval is the age at which a stream is logged, and how often that is
	// checked. Streams take five seconds; one that is over sooner is logged at its end
	// alone.
	runningLogInterval = time.Second
	// streamsPerLine bounds one log line, to about 2 KB.
	streamsPerLine = 40
)

// activeStreams holds the streams in progress.
//
// A process that is killed logs no end of its streams. So that the log names them
// nevertheless, each stream is logged once while it runs, together with others.
type activeStreams struct {
	mu      sync.Mutex
	streams map[*activeStream]struct{}
}

// activeStream is one stream in progress.
type activeStream struct {
	id        string
	startedAt time.Time
	server    atomic.Pointer[directory.Server] // of the newest attempt; nil before the first
	logged    bool                             // guarded by activeStreams.mu

	fingerprint    types.Fingerprint
	quarantined    chan struct{} // closed when its fingerprint is quarantined
	quarantineOnce sync.Once
}

func (a *activeStreams) add(id string, fp types.Fingerprint) *activeStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := &activeStream{id: id, startedAt: time.Now(), fingerprint: fp, quarantined: make(chan struct{})}
	a.streams[s] = struct{}{}
	return s
}

// quarantine notifies the streams with a fingerprint that it was quarantined.
func (a *activeStreams) quarantine(fp types.Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		if s.fingerprint == fp {
			s.quarantineOnce.Do(func() { close(s.quarantined) })
		}
	}
}

func (a *activeStreams) remove(s *activeStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, s)
}

// takeUnlogged returns the streams that are old enough to be logged and have not been,
// and marks them as logged.
func (a *activeStreams) takeUnlogged(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for s := range a.streams {
		if s.logged || now.Sub(s.startedAt) < runningLogInterval {
			continue
		}
		s.logged = true
		names = append(names, s.id+event.ServerSeparator+serverName(s.server.Load()))
	}
	slices.Sort(names)
	return names
}

// LogRunning logs each stream that has been in progress for runningLogInterval, once,
// until ctx ends.
func (e *Exchange) LogRunning(ctx context.Context) error {
	for retry.Wait(ctx, runningLogInterval) == nil {
		for names := range slices.Chunk(e.active.takeUnlogged(time.Now()), streamsPerLine) {
			e.opts.Recorder.Emit(EventRunning, event.FieldRequests, strings.Join(names, event.RequestSeparator))
		}
	}
	return ctx.Err()
}
