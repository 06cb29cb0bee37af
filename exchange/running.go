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
)

const (
	// tellRunning is the age at which a stream is named in the log, and how often
	// that is looked for. Streams take five seconds; one that is over sooner is
	// named by its end alone.
	tellRunning = time.Second
	// runningInLine bounds one log line, to about 2 KB.
	runningInLine = 40
)

// running knows the streams that are on their way here.
//
// A process that is killed writes no last line; each stream is named once before, together
// with others.
type running struct {
	mu      sync.Mutex
	streams map[*onItsWay]struct{}
}

// onItsWay is one stream.
type onItsWay struct {
	id     string
	begun  time.Time
	server atomic.Pointer[directory.Server] // of the newest attempt; nil before it
	named  bool                             // guarded by running.mu
}

func (r *running) begin(id string) *onItsWay {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &onItsWay{id: id, begun: time.Now()}
	r.streams[s] = struct{}{}
	return s
}

func (r *running) end(s *onItsWay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, s)
}

// unnamed returns streams that are old enough to be named and have not been.
func (r *running) unnamed(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for s := range r.streams {
		if s.named || now.Sub(s.begun) < tellRunning {
			continue
		}
		s.named = true
		names = append(names, s.id+event.ServerSeparator+idOf(s.server.Load()))
	}
	slices.Sort(names)
	return names
}

// TellRunning names the streams that are on their way until ctx ends.
func (e *Exchange) TellRunning(ctx context.Context) error {
	for retry.Wait(ctx, tellRunning) == nil {
		for names := range slices.Chunk(e.running.unnamed(time.Now()), runningInLine) {
			e.opts.Recorder.Emit(EventRunning, event.FieldRequests, strings.Join(names, event.RequestSeparator))
		}
	}
	return ctx.Err()
}
