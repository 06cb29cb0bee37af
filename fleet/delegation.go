package fleet

import "time"

// span is the part of the store's history in which what is in force at a process is
// the newest. Positions are of the whole store: two processes that read the same
// list at different moments know it by different positions.
type span struct{ from, to uint64 }

// sameAs tells whether two processes with these spans have the same in force: there
// is a moment at which both were the newest.
func (s span) sameAs(other span) bool { return s.from <= other.to && other.from <= s.to }

// confirmation is what a watcher has said of a span here. It counts for memberTimeout,
// so that one that was wrong does not keep this process from asking for good.
type confirmation struct {
	span
	at time.Time
}

// span returns that of what is in force here, as the store and watchers confirmed it.
func (e *Election) span(s Subject) span {
	// Read in this order: a change in between must not seem to be in force already.
	to := uint64(0)
	if e.opts.Reached != nil {
		to = e.opts.Reached(s)
	}
	from := e.opts.Position(s)
	to = max(to, from)
	e.mu.Lock()
	defer e.mu.Unlock()
	if known := e.confirmed[s]; known.from == from && time.Since(known.at) < memberTimeout {
		to = max(to, known.to)
	}
	return span{from, to}
}

// Delegated returns for how long nothing has to be read: a watcher has just
// announced that what is in force here is the newest.
func (e *Election) Delegated(s Subject) time.Duration {
	if e.Watches() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, time.Until(e.delegated[s]))
}

func (e *Election) receiveSubject(from string, s Subject, read bool, theirs span, now time.Time) {
	own := e.span(s)
	switch {
	case theirs.from > own.to:
		e.fetch(from, s, read, theirs, now)
	case read && theirs.sameAs(own):
		e.confirm(s, span{own.from, theirs.to}, now)
		e.delegate(s, now)
	}
}

// confirm notes up to which place a watcher has found nothing newer.
func (e *Election) confirm(s Subject, newest span, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmed[s] = confirmation{newest, now}
}

func (e *Election) delegate(s Subject, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !time.Now().Before(e.delegated[s]) {
		// A loop that waits for the store's return need not ask it any more.
		signal(e.updates[s])
	}
	if until := at.Add(leaseTime); until.After(e.delegated[s]) {
		e.delegated[s] = until
	}
}

// notify has the subject read from the store here.
func (e *Election) notify(s Subject) {
	e.mu.Lock()
	e.delegated[s] = time.Time{}
	e.mu.Unlock()
	signal(e.updates[s])
}

// signal puts a token into a channel that holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
