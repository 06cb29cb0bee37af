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
	"github.com/pearyard/pearyard/types"
)

// Source provides the configuration.
type Source interface {
	// Read returns the newest configuration, nil if there is none, and the position in
	// the store's history at which it was read.
	Read(ctx context.Context) (v *Versioned, reached types.Position, err error)
	// Next waits up to wait for a configuration after a position. It returns nil if none
	// came, and the position up to which there is no other.
	Next(ctx context.Context, after types.Position, wait time.Duration) (v *Versioned, reached types.Position, err error)
}

const (
	// longPoll is how long one request waits at the store for changes. With the response
	// timeout of package follow and one more request it stays below the three seconds
	// after which a process whose connections went silent must have the newest
	// configuration again.
	longPoll = 1900 * time.Millisecond
	// minInterval is the shortest time between two requests. It limits the rate when
	// waits end at once: an entry older than the store's history once caused 600 requests
	// a second until it was written again.
	minInterval = 100 * time.Millisecond
)

// maxLoggedReadErrors is the largest number of read errors in a log line.
const maxLoggedReadErrors = 8

// Follower keeps a Holder up to date with a Source.
type Follower struct {
	Holder     *Holder
	Source     Source
	Recorder   *event.Recorder
	OnFailure  func(ctx context.Context) // called after each failure; may ask peers
	Share      follow.Share              // may be nil
	ProbeGroup *follow.ProbeGroup        // shared by all followers of the same store; may be nil
	OnApplied  func(v *Versioned)        // called with each version that is put in force; may be nil

	loop       atomic.Pointer[follow.Loop]
	reached    types.AtomicPosition // position up to which changes were read; written by Run alone
	unreadable types.AtomicPosition // position of the newest unreadable version that was logged
	refused    atomic.Uint64        // version number of the newest refused version that was logged
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	loop := &follow.Loop{
		Read: f.read, Next: f.next, LongPoll: longPoll, MinInterval: minInterval, Share: f.Share, ProbeGroup: f.ProbeGroup, OnFailure: f.OnFailure,
		MustRead: func() bool { return f.Holder.Position() == 0 },
		OnLost:   func(err error) { f.Recorder.Emit(EventStoreLost, "err", err, "position", f.Holder.Position()) },
		OnRegained: func(o follow.Outage) {
			f.Recorder.Emit(EventStoreRegained, "failures", o.Failures, "away", o.Duration, "longest_wait", o.LongestWait)
		},
	}
	f.loop.Store(loop)
	return loop.Run(ctx)
}

// Age returns the time since the configuration was last confirmed; 0 before Run.
func (f *Follower) Age() time.Duration {
	if loop := f.loop.Load(); loop != nil {
		return loop.Age()
	}
	return 0
}

func (f *Follower) read(ctx context.Context) (follow.Update, error) {
	v, reached, err := f.Source.Read(ctx)
	return f.handleResponse(v, reached, err)
}

func (f *Follower) next(ctx context.Context, wait time.Duration) (follow.Update, error) {
	v, reached, err := f.Source.Next(ctx, f.reached.Load(), wait)
	return f.handleResponse(v, reached, err)
}

// handleResponse returns the update for a result of the Source.
func (f *Follower) handleResponse(v *Versioned, reached types.Position, err error) (follow.Update, error) {
	var bad *UnreadableError
	if errors.As(err, &bad) {
		f.reportUnreadable(bad, reached)
	}
	if bad != nil && f.Holder.Position() > 0 {
		// The last good version stays in force. The store responded, so this does not
		// count as a failure, after which the whole subject would be read again with the
		// same result. If the position of the unreadable version is unknown, that of the
		// response is used: otherwise each wait for changes would end with it at once.
		// A process without a good version gets an error, as after a failure of the store,
		// and asks its peers.
		return func() { f.advance(max(bad.Position, reached)) }, nil
	}
	if err != nil {
		return nil, err
	}
	return func() {
		f.advance(reached)
		f.Offer(v, "store")
	}, nil
}

// advance records the position up to which changes were read. A response to an earlier
// request may arrive after one to a newer request.
func (f *Follower) advance(position types.Position) { f.reached.Advance(position) }

// reportUnreadable logs an unreadable version once, although several requests may have
// returned it.
func (f *Follower) reportUnreadable(bad *UnreadableError, reached types.Position) {
	if !f.unreadable.Advance(cmp.Or(bad.Position, reached)) { // bad.Position is 0 if it is unknown
		return
	}
	f.Recorder.Emit(EventUnreadable, "position", bad.Position, "in_force", f.Holder.Position(), "err", bad.Err)
}

// reportRefused logs a version that is not taken since a newer one is in force. A number is
// logged once in a row: each read returns it again.
func (f *Follower) reportRefused(v *Versioned, from string) {
	inForce := f.Holder.Current()
	if v.Config.Version >= inForce.Config.Version || f.refused.Swap(v.Config.Version) == v.Config.Version {
		return
	}
	f.Recorder.Emit(EventRefused, "version", v.Config.Version, "position", v.Position, "in_force", inForce.Config.Version,
		"in_force_position", inForce.Position, "from", from)
}

// Offer puts a version in force if it is newer, and logs it.
func (f *Follower) Offer(v *Versioned, from string) {
	if v == nil {
		return
	}
	if !f.Holder.Offer(v) {
		f.reportRefused(v, from)
		return
	}
	if f.OnApplied != nil {
		f.OnApplied(v)
	}
	f.Recorder.Emit(EventApplied, "version", v.Config.Version, "position", v.Position,
		"routes", v.Config.RouteCount(), "from", from, "objectives", v.Config.Objectives())
	if readErrors := v.Config.ReadErrors; len(readErrors) > 0 {
		f.Recorder.Emit(EventPartlyUnreadable, "version", v.Config.Version, "position", v.Position,
			"faults", strings.Join(readErrors[:min(len(readErrors), maxLoggedReadErrors)], "; "), "count", len(readErrors), "from", from)
	}
}
