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
	// copyLook is how often a stream looks whether its copy's server is still
	// usable; a loss that is told ends the wait at once.
	copyLook = 400 * time.Millisecond
	// copyTimeout bounds a copy that is asked for: 40 ms for the memory of a long
	// prompt between zones, behind those of other streams.
	copyTimeout = 800 * time.Millisecond
)

// copyKeeper knows where the memory of a stream's running attempt is copied to.
type copyKeeper struct {
	// free releases a copy that will not be used; its server reserves memory for it
	// until then.
	free func(*Memory)

	mu     sync.Mutex
	memory *Memory
	end    func() // takes the copy off its server's load
	closed bool   // no copy is wanted any more
}

// set replaces the copy. One that comes after the end is given up at once: it was
// asked for while its stream ran.
func (k *copyKeeper) set(m *Memory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropLocked()
	if k.closed {
		k.giveUp(m)
		return
	}
	k.memory, k.end = m, m.At.BeginCopy()
}

// close gives the copy up, and all that come later.
func (k *copyKeeper) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.dropLocked()
}

// giveUp frees a copy that was made by a call.
func (k *copyKeeper) giveUp(m *Memory) {
	if m != nil && m.Handle != "" && k.free != nil {
		k.free(m)
	}
}

// take returns the copy, if there is one, for use.
func (k *copyKeeper) take() *Memory {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := k.memory
	k.memory = nil
	k.dropLocked()
	return m
}

// drop gives the copy up.
func (k *copyKeeper) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropLocked()
}

func (k *copyKeeper) dropLocked() {
	if k.end != nil {
		k.end()
	}
	k.giveUp(k.memory)
	k.memory, k.end = nil, nil
}

// called returns the copy if it was made by a call; nil otherwise.
func (k *copyKeeper) called() *Memory {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.memory == nil || k.memory.Handle == "" {
		return nil
	}
	return k.memory
}

// renewed puts a copy that has been brought up to date in the place of what it was
// before. If that was taken or replaced meanwhile, nobody will use the new one.
func (k *copyKeeper) renewed(old, renewed *Memory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	unused := renewed
	if k.memory == old {
		k.memory, unused = renewed, old
	}
	if old.Handle != renewed.Handle {
		k.giveUp(unused)
	}
}

// at returns the server that holds the copy, nil without one.
func (k *copyKeeper) at() *directory.Server {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.memory == nil {
		return nil
	}
	return k.memory.At
}

// freeCopy gives a copy up, beside what the stream does. If that fails, its
// server lets go of it some seconds later.
func (e *Exchange) freeCopy(m *Memory) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := e.opts.Backend.Free(ctx, m); err != nil {
			e.metrics.freesFailed.Inc()
		}
	}()
}

// copyPlace chooses where the memory of a run on server is copied to: another
// zone, since zones fail as a whole. A copy that replaces a lost one is placed again.
func (s *stream) copyPlace(server *directory.Server, avoid map[directory.Start]bool, again bool) *directory.Server {
	return s.e.opts.Directory.Pick(directory.Query{
		Service: s.req.Service, Zone: s.e.opts.Zone, Exclude: avoid, AvoidZone: server.Zone, Prompt: s.req.PromptTokens, Copy: true, AfterDisruption: again,
	}, time.Now())
}

// excludedFor returns the servers that are no place for the copy of a run on server.
func (s *stream) excludedFor(server *directory.Server) map[directory.Start]bool {
	avoid := maps.Clone(s.tried)
	avoid[server.Start] = true
	return avoid
}

// placeCopy chooses the place of the copy that a new run sends as it grows.
func (s *stream) placeCopy(a *streamAttempt) *directory.Server {
	service, ok := s.e.opts.Services(s.req.Service)
	if !ok || !service.Copies || !s.req.Route.Resumable {
		return nil
	}
	to := s.copyPlace(a.server, s.excludedFor(a.server), false)
	if to != nil {
		a.copies.set(&Memory{At: to})
	}
	return to
}

// keepCopy replaces the copy of a run when the server that holds it is lost or
// leaves. A zone's loss takes the copies of streams that run elsewhere with it,
// and the next zone's loss would make each of them read its prompt again, which
// takes longer than the pause that callers allow. It runs beside the stream and
// reads nothing that the stream writes: avoid is its own.
func (s *stream) keepCopy(ctx context.Context, a *streamAttempt, avoid map[directory.Start]bool) {
	service, ok := s.e.opts.Services(s.req.Service)
	if !ok || !service.CopiesOnDemand {
		return
	}
	look := time.NewTicker(copyLook)
	defer look.Stop()
	var asked *directory.Server // whose loss has been answered already; the next look comes by time
	for {
		at := a.copies.at()
		if at == nil && a.offer.Load() == offerNone {
			return
		}
		var down <-chan struct{}
		if at != nil && at != asked {
			down = at.Down()
		}
		select {
		case <-ctx.Done():
			return
		case <-down:
		case <-look.C:
		}
		if at == nil && a.offer.Load() == offerOpen {
			continue
		}
		if at != nil && s.e.opts.Directory.Usable(at, time.Now()) {
			s.renewCopy(ctx, a)
			continue
		}
		asked = at
		if !s.copyAgain(ctx, a, at, avoid) {
			return
		}
	}
}

// renewCopy brings a copy that was made by a call up to date; a copy that the run
// itself sends grows with it.
//
// What an old copy lacks would have to be read behind other prompts.
func (s *stream) renewCopy(ctx context.Context, a *streamAttempt) {
	old := a.copies.called()
	if old == nil {
		return
	}
	asking, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	renewed, err := s.e.opts.Backend.Copy(asking, s.req, a.server, old.At)
	if err != nil {
		s.e.metrics.renewalsFailed.Inc() // the copy holds, as old as it is
		return
	}
	a.copies.renewed(old, renewed)
}

// copyAgain asks for a copy in another place. It reports false if none can be had
// any more; while no place is usable, there may be one later.
//
// A place without room does not leave the stream without a copy.
//
// It does not ask at servers that are themselves believed lost.
func (s *stream) copyAgain(ctx context.Context, a *streamAttempt, lost *directory.Server, avoid map[directory.Start]bool) bool {
	if !s.req.hasTime(time.Now()) {
		return false
	}
	to := s.copyPlace(a.server, avoid, true)
	if to == nil || to == lost {
		return false
	}
	if !s.e.opts.Directory.Usable(to, time.Now()) {
		return true
	}
	began := time.Now()
	asking, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	memory, err := s.e.opts.Backend.Copy(asking, s.req, a.server, to)
	if ctx.Err() != nil && err != nil {
		return false
	}
	s.e.opts.Recorder.Emit(EventCopied, event.FieldRequest, s.req.ID, "server", a.server.Start, "lost", idOf(lost), "to", to.Start,
		"took", time.Since(began), "err", err)
	if err != nil {
		avoid[to.Start] = true // the next look asks another one, until none is left
		return true
	}
	a.copies.set(memory)
	a.offer.Store(offerNone)
	s.e.metrics.copies.Inc()
	return true
}
