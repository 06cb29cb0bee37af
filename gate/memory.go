package gate

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/types"
)

// shardCount is the number of shards of a memory. Each has its own lock, so that calls
// don't contend for one.
const shardCount = 16

// attemptID identifies an attempt of a claim.
type attemptID struct {
	claim   string // key of the claim row
	attempt types.AttemptTag
}

// entry is a remembered attempt. state and answer are guarded by the shard's lock.
// answer is set when state becomes Completed, and may be dropped later.
type entry struct {
	id       attemptID
	deadline time.Time
	state    AttemptState
	answer   *plain.Answer
	done     chan struct{} // closed when the attempt is no longer Running; nil for a tombstone
}

// deadlineHeap is a heap of entries, earliest deadline first.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)        { *h = append(*h, x.(*entry)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// shard is a part of the memory with its own lock and limits.
type shard struct {
	mu         sync.Mutex
	entries    map[attemptID]*entry
	byDeadline deadlineHeap
	forgotten  time.Time // latest deadline of the forgotten entries
	answers    []*entry  // entries that hold an answer, oldest first
	bytes      int       // total size of the answers
}

// memory remembers attempts, limited by their number and the size of their answers.
type memory struct {
	shards     [shardCount]shard
	maxEntries int           // per shard
	maxBytes   int           // per shard
	retention  time.Duration // how long after its deadline an attempt is remembered, if there is room
}

func newMemory(maxEntries, maxBytes int, retention time.Duration) *memory {
	m := &memory{maxEntries: max(1, maxEntries/shardCount), maxBytes: maxBytes / shardCount, retention: retention}
	for i := range m.shards {
		m.shards[i].entries = make(map[attemptID]*entry)
	}
	return m
}

func (m *memory) shard(id attemptID) *shard {
	return &m.shards[xxhash.Sum64String(id.claim)%shardCount]
}

// completeView adds what the shard knows of an attempt to v. The caller holds s.mu.
func (m *memory) completeView(s *shard, id attemptID, v View) View {
	m.forget(s, v.Now)
	if e := s.entries[id]; e != nil {
		v.State = e.state
	}
	v.Forgotten = s.forgotten
	v.Full = len(s.entries) >= m.maxEntries
	return v
}

// add remembers a new attempt. The caller holds s.mu.
func (m *memory) add(s *shard, e *entry) {
	s.entries[e.id] = e
	heap.Push(&s.byDeadline, e)
}

// forget drops attempts whose deadline has passed: those that were kept long enough,
// and others if the shard is full. The entries are dropped by deadline, so a running
// attempt also keeps all entries with a later one. That is temporary, since services
// answer within a bounded time.
func (m *memory) forget(s *shard, now time.Time) {
	for len(s.byDeadline) > 0 {
		e := s.byDeadline[0]
		expired := e.deadline.Add(m.retention).Before(now)
		evict := len(s.entries) >= m.maxEntries && e.deadline.Before(now)
		if e.state == Running || !expired && !evict {
			return
		}
		heap.Pop(&s.byDeadline)
		delete(s.entries, e.id)
		s.dropAnswer(e)
		s.forgotten = laterOf(s.forgotten, e.deadline)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finish records the result of a running attempt.
func (m *memory) finish(e *entry, state AttemptState, answer *plain.Answer) {
	s := m.shard(e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.state = state
	if answer != nil {
		m.storeAnswer(s, e, answer)
	}
	close(e.done)
}

// storeAnswer stores an answer, dropping the oldest ones if there is no room. The
// attempts of dropped answers are still known to have completed; callers that ask for
// such an answer are told that the outcome is unknown.
func (m *memory) storeAnswer(s *shard, e *entry, answer *plain.Answer) {
	size := answerSize(answer)
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
	s.bytes -= answerSize(e.answer)
	e.answer = nil
	for len(s.answers) > 0 && s.answers[0].answer == nil {
		s.answers[0] = nil
		s.answers = s.answers[1:]
	}
}

func answerSize(answer *plain.Answer) int {
	size := len(answer.Body)
	for name, values := range answer.Header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// counts returns the number of remembered attempts by state and the size of their
// answers.
func (m *memory) counts() (map[AttemptState]int, int) {
	states := make(map[AttemptState]int)
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
		latest = laterOf(latest, m.shards[i].forgotten)
		m.shards[i].mu.Unlock()
	}
	return latest
}
