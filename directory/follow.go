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
	"github.com/pearyard/pearyard/types"
)

// Source provides the list of backend servers.
type Source interface {
	// List returns the whole list and its position in the store's history.
	List(ctx context.Context) (position types.Position, list []Listing, err error)
	// Changes waits up to wait for changes after a position. Without any it returns the
	// position reached and nothing else. It returns ErrTooOld if the store no longer has
	// all changes since then.
	Changes(ctx context.Context, after types.Position, wait time.Duration) (position types.Position, changed []Listing, gone []string, err error)
}

// ErrTooOld is returned when the changes since a position are no longer available.
var ErrTooOld = errors.New("directory: changes since the position are no longer available")

const (
	// longPoll is how long one request waits at the store for changes.
	longPoll = 2 * time.Second
	// minInterval is the shortest time between two requests while changes arrive: servers
	// often change together, and one response carries them all. It must be well below the
	// two seconds within which a leaving server must stop getting new work.
	minInterval = 400 * time.Millisecond
	// relistInterval is the longest time for which the list is updated by changes alone.
	relistInterval = 10 * time.Second
	// retainPeriod is how long after the store's return a missing entry is retained:
	// servers whose entries expired during the outage write them again within about two
	// seconds.
	retainPeriod = 2200 * time.Millisecond
)

// fromStore is the origin of a list in log lines, unless it is a peer's address.
const fromStore = "store"

// Follower keeps a Directory up to date with a Source.
type Follower struct {
	Directory  *Directory
	Source     Source
	Recorder   *event.Recorder
	OnFailure  func(ctx context.Context) // called after each failure; may ask peers
	Share      follow.Share              // may be nil
	ProbeGroup *follow.ProbeGroup        // shared by all followers of the same store; may be nil

	loop      atomic.Pointer[follow.Loop]
	refreshes refreshes
	listedAt  atomic.Int64 // Unix nanoseconds of the newest whole list
	ignoredAt atomic.Int64 // Unix nanoseconds of the newest log line on an ignored list
	retained  atomic.Bool  // servers are in use that are missing from the newest list
	eraSince  atomic.Int64 // Unix nanoseconds of the first list of the newest era, unless it was the first list of all; 0: none
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error { return f.newLoop().Run(ctx) }

func (f *Follower) newLoop() *follow.Loop {
	loop := &follow.Loop{
		Read: f.list, Next: f.changes, LongPoll: longPoll, MinInterval: minInterval, Share: f.Share, ProbeGroup: f.ProbeGroup, OnFailure: f.OnFailure,
		MustRead: func() bool { return f.retaining() || f.retained.Load() || f.sinceListed() > relistInterval },
		// A peer's list does not tell which of the retained servers are gone.
		MayDelegate: func() bool { return !f.retained.Load() },
		OnLost:      func(err error) { f.Recorder.Emit(EventListLost, "err", err, "age", f.sinceListed()) },
		OnRegained: func(o follow.Outage) {
			f.Recorder.Emit(EventListRegained, "failures", o.Failures, "away", o.Duration, "longest_wait", o.LongestWait)
		},
	}
	f.loop.Store(loop)
	return loop
}

// sinceListed returns the time since the newest whole list.
func (f *Follower) sinceListed() time.Duration { return time.Since(time.Unix(0, f.listedAt.Load())) }

// Age returns the time since the list was last confirmed; 0 before Run.
func (f *Follower) Age() time.Duration {
	if loop := f.loop.Load(); loop != nil {
		return loop.Age()
	}
	return 0
}

// Failing reports whether the newest request to the store failed.
func (f *Follower) Failing() bool {
	loop := f.loop.Load()
	return loop != nil && loop.Failing()
}

// retaining reports whether missing entries may merely have expired during an outage, or may
// be missing from the copy that the store has come back from.
func (f *Follower) retaining() bool {
	return f.loop.Load().FailedWithin(retainPeriod) || f.isNewEra()
}

// isNewEra reports whether the store has come back from a copy at most retainPeriod ago.
func (f *Follower) isNewEra() bool {
	at := f.eraSince.Load()
	return at != 0 && time.Since(time.Unix(0, at)) < retainPeriod
}

func (f *Follower) changes(ctx context.Context, wait time.Duration) (follow.Update, error) {
	position, changed, gone, err := f.Source.Changes(ctx, f.Directory.Reached(), wait)
	if errors.Is(err, ErrTooOld) {
		return f.list(ctx)
	}
	if err != nil {
		return nil, err
	}
	return func() {
		if len(changed)+len(gone) > 0 {
			f.apply(position, merge(f.Directory.View().Listings, changed, gone), f.retaining(), fromStore)
		}
		f.Directory.Advance(position)
	}, nil
}

func (f *Follower) list(ctx context.Context) (follow.Update, error) {
	position, list, err := f.Source.List(ctx)
	if err != nil {
		return nil, err
	}
	return func() {
		f.listedAt.Store(time.Now().UnixNano())
		f.apply(position, list, f.retaining(), fromStore)
		f.Directory.Advance(position)
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

// ApplyPeerList puts in force a list that a peer read from the store. If the list is
// settled, meaning that the peer had no outage of the store, servers missing from it are
// removed.
func (f *Follower) ApplyPeerList(position types.Position, list []Listing, settled bool, from string) {
	f.apply(position, list, !settled, from)
	f.Directory.Advance(position)
}

// ApplyPeerChanges is ApplyPeerList for the changes since the list in force here.
func (f *Follower) ApplyPeerChanges(position types.Position, changed []Listing, gone []string, settled bool, from string) {
	f.apply(position, merge(f.Directory.View().Listings, changed, gone), !settled, from)
	f.Directory.Advance(position)
}

// Settled reports whether the newest list is complete: no recent outage, no recent return
// from a copy, and no server is retained that is missing from it.
func (f *Follower) Settled() bool {
	loop := f.loop.Load()
	return loop != nil && !f.retaining() && !f.retained.Load()
}

// beginsEra reports whether a position is of a later era than the list in force.
func (f *Follower) beginsEra(position types.Position) bool {
	known := f.Directory.View().Position
	return known != 0 && position.Era() > known.Era()
}

// apply puts a list in force and logs what changed.
func (f *Follower) apply(position types.Position, list []Listing, retainMissing bool, from string) {
	if f.beginsEra(position) {
		// A peer that has just started does not know that servers may be missing.
		retainMissing = true
		f.eraSince.Store(time.Now().UnixNano())
	}
	change := f.Directory.Apply(position, list, retainMissing, time.Now())
	if change.Ignored {
		// An ignored list says nothing about the servers that are retained now.
		f.reportIgnored(position, from)
		return
	}
	f.retained.Store(len(change.Retained) > 0)
	if f.retained.Load() {
		f.Recorder.Emit(EventRetained, "servers", joinIDs(change.Retained), "position", position)
	}
	if len(change.Outdated) > 0 {
		f.Recorder.Emit(EventOutdatedEntry, "servers", joinIDs(change.Outdated), "position", position, "from", from)
	}
	if len(change.Invalid) > 0 {
		f.Recorder.Emit(EventInvalid, "entries", joinInvalid(change.Invalid), "position", position, "from", from)
	}
	if change.Any() {
		f.Recorder.Emit(EventChanged, "joined", joinIDs(change.Joined), "left", joinIDs(change.Left), "draining", joinIDs(change.Draining),
			"listed", len(list), "position", position, "from", from)
	}
}

// ignoredInterval is the shortest time between two log lines on lists of the store that are
// ignored: it is read up to 2.5 times a second.
const ignoredInterval = 2 * time.Second

// reportIgnored logs that a list of the store is ignored. A peer's may well be older.
func (f *Follower) reportIgnored(position types.Position, from string) {
	if from != fromStore {
		return
	}
	now := time.Now().UnixNano()
	last := f.ignoredAt.Load()
	if now-last < int64(ignoredInterval) || !f.ignoredAt.CompareAndSwap(last, now) {
		return
	}
	f.Recorder.Emit(EventIgnored, "position", position, "in_force", f.Directory.View().Position)
}

// maxLoggedIDs is the number of ids in a log line, enough for the loss of a zone of a
// typical site. Unbounded, a process's first list of thousands makes a line of 40 KB.
const maxLoggedIDs = 40

// joinIDs joins the first maxLoggedIDs ids and counts the rest.
func joinIDs(ids []string) string {
	if len(ids) <= maxLoggedIDs {
		return strings.Join(ids, ",")
	}
	return fmt.Sprintf("%s,+%d", strings.Join(ids[:maxLoggedIDs], ","), len(ids)-maxLoggedIDs)
}

// maxLoggedInvalid is the number of invalid entries that a log line names with their
// reasons, in at most 2 KB. At most 2.5 lists are applied per second and an entry is
// logged once for a reason, so 3,000 invalid entries make only a few lines.
const maxLoggedInvalid = 8

// joinInvalid joins the first maxLoggedInvalid entries with their reasons and counts the
// rest.
func joinInvalid(list []Listing) string {
	var named []string
	for _, l := range list[:min(len(list), maxLoggedInvalid)] {
		named = append(named, fmt.Sprintf("%.60q: %.120s", l.ID, l.Invalid))
	}
	if more := len(list) - maxLoggedInvalid; more > 0 {
		named = append(named, fmt.Sprintf("+%d", more))
	}
	return strings.Join(named, "; ")
}
