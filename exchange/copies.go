package exchange

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

const (
	// copyCheckInterval is how often a stream checks whether the server that holds its
	// copy is still usable, and refreshes a requested copy. A reported loss ends the wait
	// at once.
	copyCheckInterval = 400 * time.Millisecond
	// copyTimeout bounds a request for a copy, which takes 40 ms for the KV cache of a
	// long prompt between zones, and longer behind those of other streams.
	copyTimeout = 800 * time.Millisecond
)

// copyTracker tracks where the KV cache of a stream's running attempt is copied to.
type copyTracker struct {
	// free releases a copy that is no longer needed; its server reserves memory for it
	// until then.
	free func(*KVCopy)

	mu      sync.Mutex
	current *KVCopy
	endLoad func() // removes the copy from its server's load
	tokens  int    // of memory that a copy takes; 0: not accounted
	memory  *directory.MemoryHold
	sent    bool          // the run has had an event, from which on it sends its copy
	ttl     time.Duration // how long a server keeps a sent copy whose run did not end successfully
	closed  bool          // no copy is needed any more
}

// set replaces the copy. A copy that arrives after close is released at once: it was
// requested while its stream ran.
func (t *copyTracker) set(c *KVCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropLocked()
	if t.closed {
		t.release(c)
		return
	}
	t.current, t.endLoad, t.memory = c, c.Server.BeginCopy(), c.Server.HoldMemory(t.tokens)
}

// close releases the copy, and all that arrive later.
func (t *copyTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.dropLocked()
}

// release frees a copy that was made by Backend.Copy.
func (t *copyTracker) release(c *KVCopy) {
	if c != nil && c.Handle != "" && t.free != nil {
		t.free(c)
	}
}

// take returns the copy, if there is one, to be resumed from. The tracker no longer has
// it and will not release it.
func (t *copyTracker) take() *KVCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.current
	t.current = nil
	t.dropLocked()
	return c
}

// drop releases the copy.
func (t *copyTracker) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropLocked()
}

func (t *copyTracker) dropLocked() {
	if t.endLoad != nil {
		t.endLoad()
	}
	t.endMemory()
	t.release(t.current)
	t.current, t.endLoad, t.memory = nil, nil, nil
}

// endMemory removes the copy from the memory of its server once that drops it. A copy that was
// requested is freed at once, and one of a run without an event does not exist.
func (t *copyTracker) endMemory() {
	if t.sent && t.ttl > 0 && t.memory != nil && t.current != nil && t.current.Handle == "" {
		time.AfterFunc(t.ttl, t.memory.End)
		return
	}
	t.memory.End()
}

// finish releases the copy of a run that is over. whole is set if it ended successfully, upon
// which a server drops the copy.
func (t *copyTracker) finish(whole bool) {
	t.mu.Lock()
	t.sent = t.sent && !whole
	t.mu.Unlock()
	t.close()
}

// markSent records that the run sends its copy from now on.
func (t *copyTracker) markSent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = true
}

// grow raises the memory that a copy takes.
func (t *copyTracker) grow(tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = max(t.tokens, tokens)
	t.memory.Grow(t.tokens)
}

// size returns the memory that a copy takes.
func (t *copyTracker) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens
}

// requested returns the copy if it was made by Backend.Copy; nil otherwise.
func (t *copyTracker) requested() *KVCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.Handle == "" {
		return nil
	}
	return t.current
}

// setRefreshed replaces a copy by its refreshed version and releases the old one. If the
// old one was taken or replaced meanwhile, the new one is released instead, since nobody
// will use it. Versions with the same handle are one copy, of which nothing is released.
func (t *copyTracker) setRefreshed(old, fresh *KVCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	unused := fresh
	if t.current == old {
		t.current, unused = fresh, old
	}
	if old.Handle != fresh.Handle {
		t.release(unused)
	}
}

// holder returns the server that holds the copy, nil without one.
func (t *copyTracker) holder() *directory.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil {
		return nil
	}
	return t.current.Server
}

// freeCopy releases a copy in the background. If that fails, its server drops it some
// seconds later.
func (e *Exchange) freeCopy(c *KVCopy) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := e.opts.Backend.Free(ctx, c); err != nil {
			e.metrics.freesFailed.Inc()
		}
	}()
}

// pickCopyServer chooses the server for the copy of a run on server: one in another
// zone if possible, since zones fail as a whole. again is set for a copy that replaces a
// lost one.
//
// lacksMemory reports that a server was found only without regard to memory: the copy is not
// made, and leaves the memory to streams.
func (s *stream) pickCopyServer(a *streamAttempt, avoid map[directory.Start]bool, again bool) (to *directory.Server, lacksMemory bool) {
	q := directory.Query{
		Service: s.req.Service, Zone: s.e.opts.Zone, Exclude: avoid, AvoidZone: a.server.Zone, Prompt: s.req.PromptTokens, Copy: true, AfterDisruption: again, Admits: s.e.sameVersion(a.server),
	}
	if s.memory != nil {
		q.Memory, q.MemoryLimit = a.copies.size(), s.memory.copyLimit
	}
	to = s.e.opts.Directory.Pick(q, time.Now())
	if to != nil || s.memory == nil {
		return to, false
	}
	q.Memory = 0
	lacksMemory = s.e.opts.Directory.Pick(q, time.Now()) != nil
	return nil, lacksMemory
}

// excludedFor returns the servers that can't hold the copy of a run on server.
func (s *stream) excludedFor(server *directory.Server) map[directory.Start]bool {
	avoid := maps.Clone(s.tried)
	avoid[server.Start] = true
	return avoid
}

// closeCopies releases the copy of the current attempt, also when the request's goroutine
// panics. It has no effect after finish.
func (s *stream) closeCopies() {
	if s.current != nil {
		s.current.copies.close()
	}
}

// placeCopy chooses the server for the copy that a new run sends as it grows.
func (s *stream) placeCopy(a *streamAttempt) *directory.Server {
	service, ok := s.e.opts.Services(s.req.Service)
	if !ok || !service.Copies || !s.req.Route.Resumable {
		return nil
	}
	to, lacksMemory := s.pickCopyServer(a, s.excludedFor(a.server), false)
	if lacksMemory {
		s.e.metrics.memory.copiesNotPlaced.Inc()
	}
	if to != nil {
		a.copies.set(&KVCopy{Server: to})
	}
	return to
}

// maintainCopy replaces the copy of a run when the server that holds it is lost or
// leaves, and keeps it up to date. The loss of a zone takes the copies of streams that
// run elsewhere with it, and the loss of the next zone would make each of them read its
// prompt again, which takes longer than the pause that callers allow.
//
// It runs in its own goroutine until ctx ends. It must not read the fields of the stream
// that the stream's goroutine writes, so avoid, the servers that can't hold the copy, is
// a map of its own.
func (s *stream) maintainCopy(ctx context.Context, a *streamAttempt, avoid map[directory.Start]bool) {
	service, ok := s.e.opts.Services(s.req.Service)
	if !ok || !service.CopiesOnDemand {
		return
	}
	check := time.NewTicker(copyCheckInterval)
	defer check.Stop()
	var seen <-chan struct{} // a reported loss that has been handled; it stays closed while the server is tried again
	for {
		at := a.copies.holder()
		if at == nil && a.copyState.Load() == copyPlaced {
			return
		}
		var down <-chan struct{}
		if at != nil {
			down = at.Down()
		}
		if down == seen {
			down = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-down:
			seen = down
		case <-check.C:
		}
		if at == nil && a.copyState.Load() == copyTaken {
			continue
		}
		if a.server.Resting(time.Now()) {
			continue // it would be the one to send a copy
		}
		if at != nil && s.e.opts.Directory.Usable(at, time.Now()) {
			s.refreshCopy(ctx, a)
			continue
		}
		if !s.replaceCopy(ctx, a, at, avoid) {
			return
		}
	}
}

// refreshCopy brings a copy that was made by Backend.Copy up to date; one that the run
// itself sends grows with it.
//
// What an outdated copy lacks would have to be read by its holder, queued behind other
// prompts.
func (s *stream) refreshCopy(ctx context.Context, a *streamAttempt) {
	old := a.copies.requested()
	if old == nil || old.Server.Resting(time.Now()) {
		return
	}
	copyCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	fresh, err := s.e.opts.Backend.Copy(copyCtx, s.req, a.server, old.Server)
	if err != nil {
		s.e.metrics.refreshesFailed.Inc() // the old copy stays valid
		return
	}
	a.copies.setRefreshed(old, fresh)
}

// replaceCopy requests a copy on another server. It returns false if none can be had
// any more; while no server is usable, there may be one later.
//
// After a refusal, for example for lack of room, another server is asked at the next
// check. Servers that are themselves believed lost are not asked.
func (s *stream) replaceCopy(ctx context.Context, a *streamAttempt, lost *directory.Server, avoid map[directory.Start]bool) bool {
	if !s.req.hasTime(time.Now()) {
		return false
	}
	to, lacksMemory := s.pickCopyServer(a, avoid, true)
	if lacksMemory {
		return true // the next check finds out whether there is room
	}
	if to == nil || to == lost {
		return false
	}
	if !s.e.opts.Directory.Usable(to, time.Now()) {
		return true
	}
	began := time.Now()
	copyCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	replacement, err := s.e.opts.Backend.Copy(copyCtx, s.req, a.server, to)
	if ctx.Err() != nil && err != nil {
		return false
	}
	s.e.opts.Recorder.Emit(EventCopied, event.FieldRequest, s.req.ID, "server", a.server.Start, "lost", serverName(lost), "to", to.Start,
		"took", time.Since(began), "err", err)
	if err != nil {
		avoid[to.Start] = true // the next check asks another server, until none is left
		return true
	}
	a.copies.set(replacement)
	a.copyState.Store(copyPlaced)
	s.e.metrics.copiesReplaced.Inc()
	return true
}
