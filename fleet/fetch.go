package fleet

import (
	"context"
	"time"
)

// fetch asks a peer for changes, one question a peer at a time. What it can't tell
// as changes is read from the store.
func (e *Election) fetch(peer string, s Subject, read bool, theirs span, at time.Time) {
	if !e.beginFetch(peer, s, theirs) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), helpTimeout)
		defer cancel()
		e.opts.Fetch(ctx, peer, e.span(List).to)
		for subject, wanted := range e.endFetch(peer) {
			if e.span(Subject(subject)).to < wanted {
				e.notify(Subject(subject))
			}
		}
		if now := e.span(s); read && theirs.sameAs(now) {
			e.confirm(s, span{now.from, theirs.to}, at)
			e.delegate(s, at)
		}
	}()
}

// wanted are the places up to which a peer is asked for changes.
type wanted [subjects]uint64

// beginFetch reports whether a peer is to be asked. If a question to it is open, its
// answer will show whether more is needed.
func (e *Election) beginFetch(peer string, s Subject, theirs span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	open, busy := e.asking[peer]
	if !busy {
		open = &wanted{}
		e.asking[peer] = open
	}
	open[s] = max(open[s], theirs.from)
	return !busy
}

func (e *Election) endFetch(peer string) wanted {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := e.asking[peer]
	delete(e.asking, peer)
	return *open
}
