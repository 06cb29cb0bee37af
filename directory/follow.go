package directory

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/follow"
)

// Source lists the backend servers.
type Source interface {
	// List returns all of them, with the list's place in the store's history.
	List(ctx context.Context) (position uint64, list []Listing, err error)
	// Changes waits up to wait for changes after a position. Without any it
	// returns the position it has reached and nothing else. The error is
	// ErrTooOld if the store no longer knows all changes since then.
	Changes(ctx context.Context, after uint64, wait time.Duration) (position uint64, changed []Listing, gone []string, err error)
}

// ErrTooOld: the changes since a position are no longer known.
var ErrTooOld = errors.New("directory: the position is too old for changes")

const (
	// longPoll is how long one question waits at the store.
	longPoll = 2 * time.Second
	// pace is the time between two questions while changes come: many servers
	// change in the same moments, and one answer carries them all. It must be well
	// under the time in which a leaving server must get no new work.
	pace = 400 * time.Millisecond
	// relistEvery bounds how long a list is kept up by changes alone.
	relistEvery = 10 * time.Second
	// forgiveFor is how long after the store's return an entry that is missing
	// is kept: entries that lapsed meanwhile are back about two seconds after it.
	forgiveFor = 2200 * time.Millisecond
)

// Follower keeps a Directory up with a Source.
type Follower struct {
	Directory *Directory
	Source    Source
	Recorder  *event.Recorder
	Failed    func(ctx context.Context) // called after each failure; it may ask peers
	Share     follow.Share              // may be nil
	Turns     *follow.Turns             // of all that ask the same store; may be nil

	loop     atomic.Pointer[follow.Loop]
	listedAt time.Time
	position atomic.Uint64 // up to which changes are known
	kept     atomic.Bool   // servers are in use that the newest list does not have
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error { return f.newLoop().Run(ctx) }

func (f *Follower) newLoop() *follow.Loop {
	loop := &follow.Loop{
		Read: f.list, Next: f.changes, Wait: longPoll, Pace: pace, Share: f.Share, Turns: f.Turns, Failed: f.Failed,
		MustRead: func() bool { return f.forgiving() || f.kept.Load() || time.Since(f.listedAt) > relistEvery },
		// A peer's word does not tell which of the entries that are awaited are gone.
		MayDelegate: func() bool { return !f.kept.Load() },
		Lost:        func(err error) { f.Recorder.Emit(EventListLost, "err", err, "age", time.Since(f.listedAt)) },
		Regained: func(o follow.Outage) {
			f.Recorder.Emit(EventListRegained, "failures", o.Failures, "away", o.Away, "longest_wait", o.Longest)
		},
	}
	f.loop.Store(loop)
	return loop
}

// Age returns for how long nobody has confirmed the list; 0 before Run.
func (f *Follower) Age() time.Duration {
	if loop := f.loop.Load(); loop != nil {
		return loop.Age()
	}
	return 0
}

// Failing tells whether the store does not tell the list at the moment.
func (f *Follower) Failing() bool {
	loop := f.loop.Load()
	return loop != nil && loop.Failing()
}

// forgiving tells whether entries that are missing may only have lapsed.
func (f *Follower) forgiving() bool { return f.loop.Load().FailedWithin(forgiveFor) }

func (f *Follower) changes(ctx context.Context, wait time.Duration) (follow.Update, error) {
	position, changed, gone, err := f.Source.Changes(ctx, f.position.Load(), wait)
	if errors.Is(err, ErrTooOld) {
		return f.list(ctx)
	}
	if err != nil {
		return nil, err
	}
	return func() {
		if len(changed)+len(gone) > 0 {
			f.take(position, merge(f.Directory.View().Listings, changed, gone), f.forgiving(), "store")
		}
		f.reach(position)
	}, nil
}

func (f *Follower) list(ctx context.Context) (follow.Update, error) {
	position, list, err := f.Source.List(ctx)
	if err != nil {
		return nil, err
	}
	return func() {
		f.listedAt = time.Now()
		f.take(position, list, f.forgiving(), "store")
		f.reach(position)
	}, nil
}

// merge returns a list with changes applied.
func merge(list, changed []Listing, gone []string) []Listing {
	byID := make(map[string]Listing, len(list)+len(changed))
	for _, l := range list {
		byID[l.ID] = l
	}
	for _, l := range changed {
		byID[l.ID] = l
	}
	for _, id := range gone {
		delete(byID, id)
	}
	return slices.Collect(maps.Values(byID))
}

// reach notes up to which position changes are known.
func (f *Follower) reach(position uint64) {
	for {
		known := f.position.Load()
		if position <= known || f.position.CompareAndSwap(known, position) {
			return
		}
	}
}

// Reached returns the position up to which there is nothing newer than what is in
// force. Invariant: what came up to it is in the directory already; who asks for the
// view's position as well asks for this one first.
func (f *Follower) Reached() uint64 { return f.position.Load() }

// Take puts a list in force that a peer had from the store. What is missing
// from it is gone if the list is settled: the store had not been away for the peer.
func (f *Follower) Take(position uint64, list []Listing, settled bool, from string) {
	f.take(position, list, !settled, from)
	f.reach(position)
}

// TakeChanges is Take for what has changed since the list in force here.
func (f *Follower) TakeChanges(position uint64, changed []Listing, gone []string, settled bool, from string) {
	f.take(position, merge(f.Directory.View().Listings, changed, gone), !settled, from)
	f.reach(position)
}

// Settled tells whether no entry of the newest list is awaited any more.
func (f *Follower) Settled() bool {
	loop := f.loop.Load()
	return loop != nil && !loop.FailedWithin(forgiveFor) && !f.kept.Load()
}

// take puts a list in force and says what changed.
func (f *Follower) take(position uint64, list []Listing, forgiving bool, from string) {
	change := f.Directory.Apply(position, list, forgiving, time.Now())
	if change.Older {
		// It says nothing of the servers that the list in force keeps.
		return
	}
	f.kept.Store(len(change.Kept) > 0)
	if f.kept.Load() {
		f.Recorder.Emit(EventKept, "servers", some(change.Kept), "position", position)
	}
	if len(change.Late) > 0 {
		f.Recorder.Emit(EventLate, "servers", some(change.Late), "position", position, "from", from)
	}
	if len(change.Invalid) > 0 {
		f.Recorder.Emit(EventInvalid, "entries", someInvalid(change.Invalid), "position", position, "from", from)
	}
	if change.Any() {
		f.Recorder.Emit(EventChanged, "joined", some(change.Joined), "left", some(change.Left), "draining", some(change.Draining),
			"listed", len(list), "position", position, "from", from)
	}
}

// loggedIDs is how many ids a log line names: a zone's loss at a usual site. A
// process's first list of thousands would make a line of 40 KB otherwise.
const loggedIDs = 40

// some names the first ids and counts the others.
func some(ids []string) string {
	if len(ids) <= loggedIDs {
		return strings.Join(ids, ",")
	}
	return fmt.Sprintf("%s,+%d", strings.Join(ids[:loggedIDs], ","), len(ids)-loggedIDs)
}

// loggedInvalid is how many entries that name no server a log line names with
// their reasons, in at most 2 KB. Lists are taken 2.5 times a second at most,
// and an entry is named once for a reason, so 3,000 of them are a few lines.
const loggedInvalid = 8

// someInvalid names the first entries with their reasons and counts the others.
func someInvalid(list []Listing) string {
	var named []string
	for _, l := range list[:min(len(list), loggedInvalid)] {
		named = append(named, fmt.Sprintf("%.60q: %.120s", l.ID, l.Invalid))
	}
	if more := len(list) - loggedInvalid; more > 0 {
		named = append(named, fmt.Sprintf("+%d", more))
	}
	return strings.Join(named, "; ")
}
