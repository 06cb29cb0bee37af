package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// ServerLimitsOptions configures a ServerLimits.
type ServerLimitsOptions struct {
	Directory *directory.Directory
	Recorder  *event.Recorder
}

// ServerLimits logs the rate limits that backend servers name.
type ServerLimits struct {
	opts   ServerLimitsOptions
	logged map[directory.Start]directory.RateLimit // limits in force, as last logged; only Run's goroutine uses it
}

// NewServerLimits returns a ServerLimits.
func NewServerLimits(opts ServerLimitsOptions) *ServerLimits {
	return &ServerLimits{opts: opts, logged: map[directory.Start]directory.RateLimit{}}
}

// Run logs changes of limits until ctx ends.
func (l *ServerLimits) Run(ctx context.Context) error {
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-l.opts.Directory.LimitChanged():
		}
		l.logChanges(l.opts.Directory.RateLimits(time.Now()))
	}
}

// logChanges logs limits that were named, changed or lifted since the last call, and those
// of servers that are gone.
func (l *ServerLimits) logChanges(known []directory.LimitedServer) {
	inForce := make(map[directory.Start]bool, len(known))
	for _, s := range known {
		if !s.Limited {
			continue
		}
		inForce[s.Start] = true
		if old, logged := l.logged[s.Start]; !logged || old.PerSecond != s.PerSecond {
			l.opts.Recorder.Emit(EventServerLimit, "server", s.Start, "service", s.Service, "zone", s.Zone, "limit", s.PerSecond, "before", old.PerSecond)
		}
		l.logged[s.Start] = s.RateLimit
	}
	for start, old := range l.logged {
		if !inForce[start] {
			delete(l.logged, start)
			l.opts.Recorder.Emit(EventServerLimitLifted, "server", start, "before", old.PerSecond)
		}
	}
}
