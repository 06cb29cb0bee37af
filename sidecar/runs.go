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
	suspect     bool // as reported by the router
	emitted     int  // number of tokens that the attempt continues from
	started     time.Time
	cancel      context.CancelFunc

	mu        sync.Mutex           // guards all fields below
	death     death                // set before the log is marked lost
	prefilled int                  // set before the log is finished
	stalledAt int                  // token count at the last reported stall
	grace     *time.Timer          // runs while no router reads
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
	maps.DeleteFunc(r.readers, func(rd *reader, _ struct{}) bool { return rd.router == router })
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
	running int // number of requests that ran on the engine; 0: unknown
}

// runs holds the attempts that run here and, during the retention time, those that have
// ended.
type runs struct {
	mu     sync.Mutex
	byID   map[types.GenerationID]map[types.AttemptTag]*run
	active int // attempts that use the engine
}

func newRuns() *runs { return &runs{byID: map[types.GenerationID]map[types.AttemptTag]*run{}} }

// add stores r unless its attempt is already present. It returns the stored run.
func (rs *runs) add(r *run) (stored *run, added bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	attempts := rs.byID[r.log.ID()]
	if attempts == nil {
		attempts = map[types.AttemptTag]*run{}
		rs.byID[r.log.ID()] = attempts
	}
	tag := r.log.Lineage().Last()
	if old := attempts[tag]; old != nil {
		return old, false
	}
	attempts[tag] = r
	rs.active++
	return r, true
}

// recordEnd records that an attempt no longer uses the engine.
func (rs *runs) recordEnd() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.active--
}

func (rs *runs) activeCount() int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.active
}

func (rs *runs) get(key runKey) *run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.byID[key.generation][key.attempt]
}

// bestAttempt returns the attempt that a reader should follow: one that includes the last
// token that the reader has seen (produced by attempt seen at index from-1; seen is 0 if
// it has seen none). Running and finished attempts are preferred to lost and cancelled
// ones, then the longest.
func (rs *runs) bestAttempt(id types.GenerationID, seen types.AttemptTag, from int) *run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var found *run
	for _, r := range rs.byID[id] {
		if seen != 0 && from > 0 && !r.log.Lineage().Produced(seen, from-1) {
			continue
		}
		if found == nil || preferredOver(r.log.Snapshot(0), found.log.Snapshot(0)) {
			found = r
		}
	}
	return found
}

// preferredOver reports whether a reader should follow a rather than b.
func preferredOver(a, b generation.State) bool {
	usable := func(s generation.State) bool { return s.Phase == generation.Running || s.Phase == generation.Finished }
	if usable(a) != usable(b) {
		return usable(a)
	}
	return a.Count > b.Count
}

func (rs *runs) remove(key runKey) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	attempts := rs.byID[key.generation]
	delete(attempts, key.attempt)
	if len(attempts) == 0 {
		delete(rs.byID, key.generation)
	}
}

func (rs *runs) all() []*run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var out []*run
	for _, attempts := range rs.byID {
		for _, r := range attempts {
			out = append(out, r)
		}
	}
	return out
}
