package gate

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/types"
)

// shardCount spreads attempts over locks, so that no lock is shared by all calls.
const shardCount = 16

// attemptID names an attempt of a claim.
type attemptID struct {
	claim   string // key of the claim row
	attempt types.AttemptTag
}

// entry is one remembered attempt. state and answer are guarded by the shard's
// lock; answer doesn't change once state is Completed, but may be dropped.
type entry struct {
	id       attemptID
	deadline time.Time
	state    Memory
	answer   *plain.Answer
	done     chan struct{} // closed when the attempt is no longer Running; nil for a tombstone
}

// byDeadline is a heap of entries, earliest deadline first.
type byDeadline []*entry

func (h byDeadline) Len() int           { return len(h) }
func (h byDeadline) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h byDeadline) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byDeadline) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *byDeadline) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// shard is one part of the memory, with its own lock and its own bounds.
type shard struct {
	mu        sync.Mutex
	entries   map[attemptID]*entry
	order     byDeadline
	forgotten time.Time // latest deadline among the forgotten
	answers   []*entry  // completed ones that hold an answer, oldest first
	bytes     int       // of the answers held
}

// memory remembers attempts, bounded in number and in bytes of answers.
type memory struct {
	shards     [shardCount]shard
	maxEntries int           // in a shard
	maxBytes   int           // in a shard
	keep       time.Duration // after the deadline, while there is room
}

func newMemory(maxEntries, maxBytes int, keep time.Duration) *memory {
	m := &memory{maxEntries: max(1, maxEntries/shardCount), maxBytes: maxBytes / shardCount, keep: keep}
	for i := range m.shards {
		m.shards[i].entries = make(map[attemptID]*entry)
	}
	return m
}

func (m *memory) shard(id attemptID) *shard {
	return &m.shards[xxhash.Sum64String(id.claim)%shardCount]
}

// view fills in what the shard knows of an attempt. The caller holds s.mu.
func (m *memory) view(s *shard, id attemptID, v View) View {
	m.forget(s, v.Now)
	if e := s.entries[id]; e != nil {
		v.Memory = e.state
	}
	v.Forgotten = s.forgotten
	v.Full = len(s.entries) >= m.maxEntries
	return v
}

// add remembers a new attempt. The caller holds s.mu.
func (m *memory) add(s *shard, e *entry) {
	s.entries[e.id] = e
	heap.Push(&s.order, e)
}

// forget drops attempts whose deadline has passed: those kept long enough, and
// for want of room others. A running attempt stays, and with it all that have a
// later deadline; services answer within a bounded time, so that ends.
func (m *memory) forget(s *shard, now time.Time) {
	for len(s.order) > 0 {
		e := s.order[0]
		old := e.deadline.Add(m.keep).Before(now)
		pressed := len(s.entries) >= m.maxEntries && e.deadline.Before(now)
		if e.state == Running || !old && !pressed {
			return
		}
		heap.Pop(&s.order)
		delete(s.entries, e.id)
		s.dropAnswer(e)
		s.forgotten = later(s.forgotten, e.deadline)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settle notes what came of a running attempt.
func (m *memory) settle(e *entry, state Memory, answer *plain.Answer) {
	s := m.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.state = state
	if answer != nil {
		m.keepAnswer(s, e, answer)
	}
	close(e.done)
}

// keepAnswer drops the oldest answers for want of room. That the attempt ran
// stays known; its outcome is then "unknown" to those who ask.
func (m *memory) keepAnswer(s *shard, e *entry, answer *plain.Answer) {
	size := sizeOf(answer)
	for len(s.answers) > 0 && s.bytes+size > m.maxBytes {
		s.dropAnswer(s.answers[0])
	}
	if size > m.maxBytes {
		return
	}
	e.answer = answer
	s.bytes += size
	s.answers = append(s.answers, e)
}

func (s *shard) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	s.bytes -= sizeOf(e.answer)
	e.answer = nil
	for len(s.answers) > 0 && s.answers[0].answer == nil {
		s.answers[0] = nil
		s.answers = s.answers[1:]
	}
}

func sizeOf(answer *plain.Answer) int {
	size := len(answer.Body)
	for name, values := range answer.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// counts returns the remembered attempts by state and the bytes of answers.
func (m *memory) counts() (map[Memory]int, int) {
	states := make(map[Memory]int)
	bytes := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			states[e.state]++
		}
		bytes += s.bytes
		s.mu.Unlock()
	}
	return states, bytes
}

// size counts the remembered attempts.
func (m *memory) size() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += len(m.shards[i].entries)
		m.shards[i].mu.Unlock()
	}
	return n
}

// latestForgotten returns the latest deadline forgotten in any shard.
func (m *memory) latestForgotten() time.Time {
	var latest time.Time
	for i := range m.shards {
		m.shards[i].mu.Lock()
		latest = later(latest, m.shards[i].forgotten)
		m.shards[i].mu.Unlock()
	}
	return latest
}
