package site

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

// Source tells the configuration.
type Source interface {
	// Read returns the newest configuration, nil if there is none, and the place
	// in the store's history that it was read at.
	Read(ctx context.Context) (v *Versioned, reached uint64, err error)
	// Next waits up to wait for one after a place in the history. It returns nil
	// if none came, and the place up to which there is no other.
	Next(ctx context.Context, after uint64, wait time.Duration) (v *Versioned, reached uint64, err error)
}

// Pacing of a Follower.
const (
	// longPoll is how long one question waits at the store. A connection that
	// went silent is noticed this much later at most, plus the grace below;
	// both together stay under the two seconds in which a version has to be in
	// force. A longer wait saves calls, which are priced.
	longPoll = 1900 * time.Millisecond
	// pollGrace is what an answer may take on top of the wait.
	pollGrace = 500 * time.Millisecond
	// minPace is the time between two questions that are answered at once. It is
	// a guard: a row that lies further back than the store's history once made
	// each wait end at once, 600 times a second in all, until it was written again.
	minPace = 100 * time.Millisecond
	// maxGrace bounds the grace for a store that is slow but answers.
	maxGrace = 4 * time.Second
	// retryPause is the shortest wait after a failure; with jitter it grows to
	// retryPause + maxPause.
	retryPause = 150 * time.Millisecond
	maxPause   = 600 * time.Millisecond
)

// Follower keeps a Holder up with a Source.
type Follower struct {
	Holder   *Holder
	Source   Source
	Recorder *event.Recorder
	// Lost is called for each failure in a row, after the first; it may ask peers.
	Lost func(ctx context.Context)

	failures int
	grace    time.Duration
	reached  uint64 // place in the history up to which changes were read
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.grace = pollGrace
	for ctx.Err() == nil {
		began := time.Now()
		v, reached, err := f.ask(ctx)
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.succeeded(v, reached, time.Since(began))
		_ = retry.Wait(ctx, minPace-time.Since(began))
	}
	return ctx.Err()
}

// ask reads when there is nothing yet or the last answer failed: a wait on a
// feed whose start was lost could sleep over a change.
func (f *Follower) ask(ctx context.Context) (*Versioned, uint64, error) {
	if f.Holder.Position() == 0 || f.failures > 0 {
		ctx, cancel := context.WithTimeout(ctx, f.grace)
		defer cancel()
		return f.Source.Read(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, longPoll+f.grace)
	defer cancel()
	return f.Source.Next(ctx, f.reached, longPoll)
}

func (f *Follower) succeeded(v *Versioned, reached uint64, took time.Duration) {
	if f.failures > 1 {
		f.Recorder.Emit(EventStoreRegained, "failures", f.failures, "took", took)
	}
	f.failures = 0
	f.reached = max(f.reached, reached)
	f.grace = max(pollGrace, f.grace/2)
	f.Offer(v, "store")
	f.Holder.Confirm()
}

// Offer puts a version in force and says so.
func (f *Follower) Offer(v *Versioned, from string) {
	if v == nil || !f.Holder.Offer(v) {
		return
	}
	f.Recorder.Emit(EventApplied, "version", v.Config.Version, "position", v.Position,
		"routes", v.Config.Routes(), "from", from)
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.failures++
	f.grace = min(maxGrace, f.grace*2)
	if f.failures == 2 {
		f.Recorder.Emit(EventStoreLost, "err", err, "age", f.Holder.Age())
	}
	if f.Lost != nil {
		f.Lost(ctx)
	}
	_ = retry.Wait(ctx, retry.BackoffBetween(retryPause, maxPause, f.failures))
}
