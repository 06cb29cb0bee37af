package sidecar

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

// runKey names one attempt at a generation.
type runKey struct {
	generation types.GenerationID
	attempt    types.AttemptTag
}

// run is one attempt on this engine: its log and what is needed to end it.
type run struct {
	log         *generation.Log
	request     types.RequestID
	fingerprint types.Fingerprint
	suspect     bool
	emitted     int // tokens that the attempt began with
	started     time.Time
	cancel      context.CancelFunc
	death       death // set before the log is lost
	prefilled   int   // set before the log is finished

	mu      sync.Mutex // guards all below
	stalled int        // tokens of the last stall that was told
	grace   *time.Timer
	readers map[*reader]struct{} // connections that read the log now
}

// reader is one connection over which a router reads a run's log.
type reader struct{ router types.ProcessID }

// disclaim notes that a router has no more use for the run, and reports whether
// another router reads it. The router's connections may be seen to end later;
// until then they would count as somebody who waits for the answer.
func (r *run) disclaim(router types.ProcessID) (wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.readers, func(held *reader, _ struct{}) bool { return held.router == router })
	return len(r.readers) > 0
}

// addReader notes that a router reads, which ends the grace time.
func (r *run) addReader(router types.ProcessID) *reader {
	r.mu.Lock()
	defer r.mu.Unlock()
	added := &reader{router}
	r.readers[added] = struct{}{}
	if r.grace != nil {
		r.grace.Stop()
		r.grace = nil
	}
	return added
}

// removeReader notes that a connection has ended; when it was the last one,
// expired is called after the grace time.
func (r *run) removeReader(ended *reader, grace time.Duration, expired func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, ended)
	if len(r.readers) == 0 {
		r.grace = time.AfterFunc(grace, expired)
	}
}

func (r *run) unread() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.readers) == 0
}

// awaited reports whether a router reads, or one that has left may be replaced.
func (r *run) awaited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.readers) > 0 || r.grace != nil
}

// firstStallAt reports whether a stall after so many tokens is a new one.
func (r *run) firstStallAt(tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.stalled != tokens
	r.stalled = tokens
	return first
}

// proven reports whether the request has produced enough tokens on this engine
// that the engine's death says little against it.
func (r *run) proven() bool {
	return r.log.Snapshot(0).Count-r.emitted >= suspect.ProvenTokens
}

// death names one death of the engine, the same for all that ran on it.
type death struct {
	id      string
	running int
}

// runs holds the attempts that run here, and for the retention time those that ended.
type runs struct {
	mu   sync.Mutex
	byID map[types.GenerationID]map[types.AttemptTag]*run
	live int
}

func newRuns() *runs { return &runs{byID: map[types.GenerationID]map[types.AttemptTag]*run{}} }

// add stores r unless its attempt is already there; it returns the stored one.
func (s *runs) add(r *run) (stored *run, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.byID[r.log.ID()]
	if attempts == nil {
		attempts = map[types.AttemptTag]*run{}
		s.byID[r.log.ID()] = attempts
	}
	tag := r.log.Lineage().Last()
	if old := attempts[tag]; old != nil {
		return old, false
	}
	attempts[tag] = r
	s.live++
	return r, true
}

// ended notes that an attempt no longer uses the engine.
func (s *runs) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live--
}

func (s *runs) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live
}

func (s *runs) get(key runKey) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[key.generation][key.attempt]
}

// best returns the attempt that a reader should follow: one that holds the
// token which the reader has seen (attempt seen at index from-1; 0: none seen),
// and of those a running or finished one before a broken one, then the longest.
func (s *runs) best(id types.GenerationID, seen types.AttemptTag, from int) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *run
	for _, r := range s.byID[id] {
		if seen != 0 && from > 0 && !r.log.Lineage().Produced(seen, from-1) {
			continue
		}
		if found == nil || better(r.log.Snapshot(0), found.log.Snapshot(0)) {
			found = r
		}
	}
	return found
}

func better(a, b generation.State) bool {
	usable := func(s generation.State) bool { return s.Phase == generation.Running || s.Phase == generation.Finished }
	if usable(a) != usable(b) {
		return usable(a)
	}
	return a.Count > b.Count
}

func (s *runs) remove(key runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := s.byID[key.generation]
	delete(attempts, key.attempt)
	if len(attempts) == 0 {
		delete(s.byID, key.generation)
	}
}

func (s *runs) all() []*run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*run
	for _, attempts := range s.byID {
		for _, r := range attempts {
			out = append(out, r)
		}
	}
	return out
}
