package directory

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

// Source lists the backend servers.
type Source interface {
	List(ctx context.Context) (position uint64, list []Listing, err error)
}

// Pacing of a Follower.
const (
	// DefaultPace is the time between two looks: with the wait for an answer it
	// keeps well under the two seconds in which a leaving server must get no
	// new work, and each look is a priced call.
	DefaultPace = 700 * time.Millisecond
	// listTimeout bounds one look; a slow store gets more, up to maxListTimeout.
	listTimeout    = 700 * time.Millisecond
	maxListTimeout = 4 * time.Second
	// forgiveFor is how long after the store's return an entry that is missing
	// is kept: entries that lapsed meanwhile are back about two seconds after it.
	forgiveFor = 2200 * time.Millisecond
	retryPause = 150 * time.Millisecond
	maxPause   = 600 * time.Millisecond
)

// Follower keeps a Directory up with a Source.
type Follower struct {
	Directory *Directory
	Source    Source
	Pace      time.Duration
	Recorder  *event.Recorder
	// Lost is called for each failure in a row; it may ask peers.
	Lost func(ctx context.Context)

	failures    int
	timeout     time.Duration
	lastFailure time.Time
	answeredAt  time.Time
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.timeout = listTimeout
	for ctx.Err() == nil {
		if err := f.look(ctx); err != nil {
			f.failed(ctx, err)
			continue
		}
		jitter := time.Duration(rand.Int64N(int64(f.Pace) / 5))
		_ = retry.Wait(ctx, f.Pace-f.Pace/10+jitter)
	}
	return ctx.Err()
}

func (f *Follower) look(ctx context.Context) error {
	asking, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	position, list, err := f.Source.List(asking)
	if err != nil {
		return err
	}
	if f.failures > 1 {
		f.Recorder.Emit(EventListRegained, "failures", f.failures)
	}
	f.failures = 0
	f.timeout = max(listTimeout, f.timeout/2)
	f.answeredAt = time.Now()
	f.Take(position, list, "store")
	return nil
}

// Take puts a list in force and says what changed.
func (f *Follower) Take(position uint64, list []Listing, from string) {
	now := time.Now()
	forgiving := f.failures > 0 || (!f.lastFailure.IsZero() && now.Sub(f.lastFailure) < forgiveFor)
	change := f.Directory.Apply(position, list, forgiving, now)
	if len(change.Kept) > 0 {
		f.Recorder.Emit(EventKept, "servers", strings.Join(change.Kept, ","), "position", position)
	}
	if change.Any() {
		f.Recorder.Emit(EventChanged, "joined", strings.Join(change.Joined, ","), "left", strings.Join(change.Left, ","),
			"draining", strings.Join(change.Draining, ","), "listed", len(list), "position", position, "from", from)
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	f.lastFailure = time.Now()
	f.timeout = min(maxListTimeout, f.timeout*2)
	if f.failures == 2 {
		f.Recorder.Emit(EventListLost, "err", err, "age", time.Since(f.answeredAt))
	}
	if f.Lost != nil {
		f.Lost(ctx)
	}
	_ = retry.Wait(ctx, retry.BackoffBetween(retryPause, maxPause, f.failures))
}
