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

// runKey identifies one attempt at a generation.
type runKey struct {
	generation types.GenerationID
	attempt    types.AttemptTag
}

// run is one attempt on this engine.
type run struct {
	log         *generation.Log
	request     types.RequestID
	fingerprint types.Fingerprint
	suspect     bool
	emitted     int // tokens that the attempt continues from
	started     time.Time
	cancel      context.CancelFunc
	death       death // set before the log is marked lost
	prefilled   int   // set before the log is finished

	mu        sync.Mutex           // guards all fields below
	stalledAt int                  // token count at the last reported stall
	grace     *time.Timer          // runs while nobody reads
	readers   map[*reader]struct{} // connections that currently read the log
}

// reader is one connection through which a router reads a run's log.
type reader struct{ router types.ProcessID }

// removeReadersOf removes the readers of a router that no longer needs the run, and
// reports whether another router reads it. The end of the router's connections may be
// noticed only later; until then they would count as readers that wait for the answer.
func (r *run) removeReadersOf(router types.ProcessID) (wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.readers, func(held *reader, _ struct{}) bool { return held.router == router })
	return len(r.readers) > 0
}

// addReader adds a reader for a router and cancels the grace period.
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

// removeReader removes a reader whose connection has ended. If it was the last one,
// expired is called after the grace period.
func (r *run) removeReader(ended *reader, grace time.Duration, expired func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.readers, ended)
	if len(r.readers) == 0 {
		r.grace = time.AfterFunc(grace, expired)
	}
}

func (r *run) hasNoReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.readers) == 0
}

// mayBeRead reports whether a router reads the run, or the grace period for a new reader
// is still running.
func (r *run) mayBeRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.readers) > 0 || r.grace != nil
}

// isNewStall reports whether a stall at this token count has not been reported yet, and
// records it.
func (r *run) isNewStall(tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := r.stalledAt != tokens
	r.stalledAt = tokens
	return first
}

// isProven reports whether the request has produced so many tokens on this engine that it
// is unlikely to be the cause if the engine dies.
func (r *run) isProven() bool {
	return r.log.Snapshot(0).Count-r.emitted >= suspect.ProvenTokens
}

// death identifies one death of the engine, shared by all runs that it ended.
type death struct {
	id      string
	running int
}

// runs holds the attempts that run here and, during the retention time, those that have
// ended.
type runs struct {
	mu     sync.Mutex
	byID   map[types.GenerationID]map[types.AttemptTag]*run
	active int
}

func newRuns() *runs { return &runs{byID: map[types.GenerationID]map[types.AttemptTag]*run{}} }

// add stores r unless its attempt is already present. It returns the stored run.
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
	s.active++
	return r, true
}

// recordEnd records that an attempt no longer uses the engine.
func (s *runs) recordEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

func (s *runs) activeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *runs) get(key runKey) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[key.generation][key.attempt]
}

// bestAttempt returns the attempt that a reader should follow: one that includes the last
// token that the reader has seen (produced by attempt seen at index from-1; seen is 0 if
// it has seen none). Running and finished attempts are preferred to lost and cancelled
// ones, then the longest.
func (s *runs) bestAttempt(id types.GenerationID, seen types.AttemptTag, from int) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *run
	for _, r := range s.byID[id] {
		if seen != 0 && from > 0 && !r.log.Lineage().Produced(seen, from-1) {
			continue
		}
		if found == nil || preferredOver(r.log.Snapshot(0), found.log.Snapshot(0)) {
			found = r
		}
	}
	return found
}

func preferredOver(a, b generation.State) bool {
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
