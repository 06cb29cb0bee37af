package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/types"
)

// fetch asks a peer for changes, with at most one query per peer at a time. What the peer
// can't send as changes is read from the store. read and theirs are as for handlePosition; at
// is when the announcement arrived.
func (e *Election) fetch(peer string, s Subject, read bool, theirs span, at time.Time) {
	if !e.beginFetch(peer, s, theirs) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		e.opts.Fetch(ctx, peer, e.span(List).to)
		for subject, wanted := range e.endFetch(peer) {
			if e.span(Subject(subject)).to < wanted {
				e.requestRead(Subject(subject))
			}
		}
		if now := e.span(s); read && theirs.overlaps(now) {
			e.recordConfirmation(s, span{now.from, theirs.to}, at)
			e.delegate(s, at)
		}
	}()
}

// wantedPositions holds, by subject, the position up to which a peer is asked for changes.
type wantedPositions [subjects]types.Position

// beginFetch records which position is wanted and reports whether the peer has to be
// queried. If a query to it is running, its answer will show whether more is needed.
func (e *Election) beginFetch(peer string, s Subject, theirs span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, busy := e.fetches[peer]
	if !busy {
		open = &wantedPositions{}
		e.fetches[peer] = open
	}
	open[s] = max(open[s], theirs.from)
	return !busy
}

// endFetch records the end of the query to a peer and returns the positions wanted of it.
func (e *Election) endFetch(peer string) wantedPositions {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := e.fetches[peer]
	delete(e.fetches, peer)
	return *open
}
