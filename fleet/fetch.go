package fleet

import (
	"context"
	"time"
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
		e.opts.Fetch(ctx, peer, e.span(List).to.Position, lacksInStore(e.opts.Mark(s), theirs.from))
		for subject, wanted := range e.endFetch(peer) {
			if e.span(Subject(subject)).to.Before(wanted) {
				e.requestRead(Subject(subject))
			}
		}
		if now := e.span(s); read && theirs.overlaps(now) {
			e.recordConfirmation(s, span{now.from, theirs.to}, at)
			e.delegate(s, at)
		}
	}()
}

// lacksInStore reports whether the store, which came back from a copy, does not have a
// peer's newer state: it was read in an earlier era than what is in force here.
func lacksInStore(own, theirs Mark) bool { return theirs.Position.Era() < own.Position.Era() }

// wantedMarks holds, by subject, the mark up to which a peer is asked for changes.
type wantedMarks [subjects]Mark

// beginFetch records which mark is wanted and reports whether the peer has to be
// queried. If a query to it is running, its answer will show whether more is needed.
func (e *Election) beginFetch(peer string, s Subject, theirs span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, busy := e.fetches[peer]
	if !busy {
		open = &wantedMarks{}
		e.fetches[peer] = open
	}
	open[s] = laterOf(open[s], theirs.from)
	return !busy
}

// endFetch records the end of the query to a peer and returns the marks wanted of it.
func (e *Election) endFetch(peer string) wantedMarks {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := e.fetches[peer]
	delete(e.fetches, peer)
	return *open
}
