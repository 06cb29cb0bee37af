package fleet

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// span is the range of marks at which the data in force in a process is the
// newest. Positions count changes of the whole store, so two processes that read the same
// list at different moments know it by different positions.
type span struct{ from, to Mark }

// overlaps reports whether two processes with these spans have the same data in force:
// there is a position at which both were the newest.
func (s span) overlaps(other span) bool {
	return !other.to.Before(s.from) && !s.to.Before(other.from)
}

// confirmation is the span of the data in force here, up to the position that a watcher has
// announced. It expires after memberTimeout, so that a wrong one does not keep this process
// from asking for changes forever.
type confirmation struct {
	span
	at time.Time
}

// span returns the span of the data in force here, as confirmed by the store and by
// watchers.
func (e *Election) span(s Subject) span {
	// Reached is read before Position: a change in between must not appear to be in force
	// already.
	reached := types.Position(0)
	if e.opts.Reached != nil {
		reached = e.opts.Reached(s)
	}
	from := e.opts.Mark(s)
	to := laterOf(from, Mark{from.Version, reached})
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.confirmed[s]; known.from == from && time.Since(known.at) < memberTimeout {
		to = laterOf(to, known.to)
	}
	return span{from, to}
}

// Delegated returns for how long this process need not read the subject, because it has read
// it itself or a watcher has announced that the data in force here is the newest. It is 0 at
// a watcher, which reads all the time.
func (e *Election) Delegated(s Subject) time.Duration {
	if e.IsWatcher() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, time.Until(e.delegated[s]))
}

// handlePosition handles the span of a subject that a peer has announced: it fetches newer
// data from the peer, or delegates reads if the data is the same. read tells that the store
// has just confirmed the span to the peer.
func (e *Election) handlePosition(from string, s Subject, read bool, theirs span, now time.Time) {
	own := e.span(s)
	switch {
	case own.to.Before(theirs.from):
		e.fetch(from, s, read, theirs, now)
	case theirs.to.Version < own.from.Version:
		// The store, which the peer has read, has an earlier configuration than this
		// process knows. The query tells the peer so.
		e.fetch(from, s, false, span{}, now)
	case read && theirs.overlaps(own):
		e.recordConfirmation(s, span{own.from, theirs.to}, now)
		e.delegate(s, now)
	}
}

// recordConfirmation records up to which position a watcher has found nothing newer.
func (e *Election) recordConfirmation(s Subject, newest span, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed[s] = confirmation{newest, now}
}

// delegate stops this process from reading the subject until leaseTime after at.
func (e *Election) delegate(s Subject, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(e.delegated[s]) {
		// Wakes a loop that waits for the store to become available; it need not ask the
		// store any more.
		signal(e.updates[s])
	}
	if until := at.Add(leaseTime); until.After(e.delegated[s]) {
		e.delegated[s] = until
	}
}

// requestRead makes this process read the subject from the store.
func (e *Election) requestRead(s Subject) {
	e.mu.Lock()
	e.delegated[s] = time.Time{}
	e.mu.Unlock()
	signal(e.updates[s])
}

// signal puts a token into a channel with a buffer of one unless it already holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
