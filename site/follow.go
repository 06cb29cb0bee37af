package site

import (
	"cmp"
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/follow"
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

const (
	// longPoll is how long one question waits at the store. With the patience of
	// package follow and one more question it stays under the three seconds
	// after which a process whose connections went silent counts as in touch.
	longPoll = 1900 * time.Millisecond
	// minPace is the time between two questions that are answered at once. It is
	// a guard: a row that lies further back than the store's history once made
	// each wait end at once, 600 times a second in all, until it was written again.
	minPace = 100 * time.Millisecond
)

// loggedFaults is how many parts that can't be read a log line names.
const loggedFaults = 8

// Follower keeps a Holder up with a Source.
type Follower struct {
	Holder   *Holder
	Source   Source
	Recorder *event.Recorder
	Failed   func(ctx context.Context) // called after each failure; it may ask peers
	Share    follow.Share              // may be nil
	Turns    *follow.Turns             // of all that ask the same store; may be nil
	Applied  func(v *Versioned)        // called with each version that is put in force; may be nil

	loop       atomic.Pointer[follow.Loop]
	reached    atomic.Uint64 // place in the history up to which changes were read; written by Run alone
	unreadable atomic.Uint64 // position of the newest version that can't be read
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	loop := &follow.Loop{
		Read: f.read, Next: f.next, Wait: longPoll, Pace: minPace, Share: f.Share, Turns: f.Turns, Failed: f.Failed,
		MustRead: func() bool { return f.Holder.Position() == 0 },
		Lost:     func(err error) { f.Recorder.Emit(EventStoreLost, "err", err, "position", f.Holder.Position()) },
		Regained: func(o follow.Outage) {
			f.Recorder.Emit(EventStoreRegained, "failures", o.Failures, "away", o.Away, "longest_wait", o.Longest)
		},
	}
	f.loop.Store(loop)
	return loop.Run(ctx)
}

// Age returns for how long nobody has confirmed the configuration; 0 before Run.
func (f *Follower) Age() time.Duration {
	if loop := f.loop.Load(); loop != nil {
		return loop.Age()
	}
	return 0
}

func (f *Follower) read(ctx context.Context) (follow.Update, error) {
	v, reached, err := f.Source.Read(ctx)
	return f.answer(v, reached, err)
}

func (f *Follower) next(ctx context.Context, wait time.Duration) (follow.Update, error) {
	v, reached, err := f.Source.Next(ctx, f.reached.Load(), wait)
	return f.answer(v, reached, err)
}

func (f *Follower) answer(v *Versioned, reached uint64, err error) (follow.Update, error) {
	var bad *UnreadableError
	if errors.As(err, &bad) {
		f.tellUnreadable(bad, reached)
	}
	if bad != nil && f.Holder.Position() > 0 {
		// The last good version stays in force. The store answers, so this is no
		// failure of it: asking again would bring the same. A row whose place can't
		// be read either is passed over by the place of the answer, or each wait
		// would end with it at once. Without a good one peers are asked, as after
		// a failure.
		return func() { f.reach(max(bad.Position, reached)) }, nil
	}
	if err != nil {
		return nil, err
	}
	return func() {
		f.reach(reached)
		f.Offer(v, "store")
	}, nil
}

// reach notes up to which place changes were read. An answer to an earlier
// question may come later than one to a newer question.
func (f *Follower) reach(place uint64) { f.reached.Store(max(f.reached.Load(), place)) }

// tellUnreadable tells of a version that can't be read, once. Several questions
// may have found it.
func (f *Follower) tellUnreadable(bad *UnreadableError, reached uint64) {
	place := cmp.Or(bad.Position, reached)
	for {
		known := f.unreadable.Load()
		if place <= known {
			return
		}
		if f.unreadable.CompareAndSwap(known, place) {
			break
		}
	}
	f.Recorder.Emit(EventUnreadable, "position", bad.Position, "in_force", f.Holder.Position(), "err", bad.Err)
}

// Offer puts a version in force and says so.
func (f *Follower) Offer(v *Versioned, from string) {
	if v == nil || !f.Holder.Offer(v) {
		return
	}
	if f.Applied != nil {
		f.Applied(v)
	}
	f.Recorder.Emit(EventApplied, "version", v.Config.Version, "position", v.Position,
		"routes", v.Config.Routes(), "from", from, "objectives", v.Config.Objectives())
	if faults := v.Config.Faults; len(faults) > 0 {
		f.Recorder.Emit(EventParts, "version", v.Config.Version, "position", v.Position,
			"faults", strings.Join(faults[:min(len(faults), loggedFaults)], "; "), "count", len(faults), "from", from)
	}
}
