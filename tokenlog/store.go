package tokenlog

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Defaults of a Store.
const (
	DefaultMaxBytes   = 64 << 20
	DefaultMaxEntries = 20_000
	DefaultRetain     = 2 * time.Minute
	DefaultReserve    = 30 * time.Second
	DefaultAbandon    = 10 * time.Minute

	// maxBranches bounds the attempts that are kept apart in one generation.
	maxBranches = 4
	sweepEvery  = time.Second
	// silent: a branch of which nothing was heard this long has likely lost its writer.
	silent = 10 * time.Second
)

// StoreOptions configures a Store. Zero values take the defaults.
type StoreOptions struct {
	MaxBytes   int           // held tokens and their bookkeeping
	MaxEntries int           // generations and reservations
	Retain     time.Duration // finished generations are kept this long
	Reserve    time.Duration // a reservation that no generation follows is kept this long
	Abandon    time.Duration // a generation that runs but of which nothing is heard is kept this long
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.Retain == 0 {
		o.Retain = DefaultRetain
	}
	if o.Reserve == 0 {
		o.Reserve = DefaultReserve
	}
	if o.Abandon == 0 {
		o.Abandon = DefaultAbandon
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	return o
}

// Store holds, in memory and within bounds, what writers elsewhere journal.
type Store struct {
	opts    StoreOptions
	metrics *storeMetrics

	mu      sync.Mutex // guards all below; not on the path of a token to its caller
	entries map[types.GenerationID]*entry
	byKey   map[types.Key]types.GenerationID
	retain  time.Duration
	ages    [states]*list.List // of *entry, longest unchanged first
	bytes   int
}

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	s := &Store{
		opts:    opts.withDefaults(),
		metrics: newStoreMetrics(opts.Registerer),
		entries: make(map[types.GenerationID]*entry),
		byKey:   make(map[types.Key]types.GenerationID),
	}
	s.retain = s.opts.Retain
	for i := range s.ages {
		s.ages[i] = list.New()
	}
	return s
}

// SetRetain puts the text's retainMillis in force.
func (s *Store) SetRetain(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retain = d
}

// Run expires entries until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.Sweep()
		}
	}
}

// Sweep drops what has been kept long enough.
func (s *Store) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(stateFinished, now.Add(-s.retain))
	s.expire(stateReserved, now.Add(-s.opts.Reserve))
	s.expire(stateRunning, now.Add(-s.opts.Abandon))
	s.gauge()
}

func (s *Store) expire(st state, before time.Time) {
	for front := s.ages[st].Front(); front != nil; front = s.ages[st].Front() {
		e := front.Value.(*entry)
		if e.changed.After(before) {
			return
		}
		s.drop(e)
	}
}

// obtain returns the entry of a generation, made if it is new.
func (s *Store) obtain(id types.GenerationID) *entry {
	e := s.entries[id]
	if e == nil {
		e = &entry{id: id, state: stateReserved}
		e.age = s.ages[stateReserved].PushBack(e)
		s.entries[id] = e
	}
	return e
}

// touch accounts for a change of e and moves it to the young end of its list.
func (s *Store) touch(e *entry) {
	e.changed = time.Now()
	s.bytes -= e.bytes
	e.bytes = e.size()
	s.bytes += e.bytes
	s.ages[e.state].Remove(e.age)
	e.state = e.classify()
	e.age = s.ages[e.state].PushBack(e)
	s.claimKey(e)
}

// claimKey notes e as its request key's generation, unless the one noted is
// more than a reservation: the first generation noted for a key wins.
func (s *Store) claimKey(e *entry) {
	held, ok := s.byKey[e.id.Key]
	if ok && held != e.id && len(s.entries[held].branches) > 0 {
		return
	}
	if ok && held != e.id && len(e.branches) == 0 {
		return
	}
	s.byKey[e.id.Key] = e.id
}

func (s *Store) drop(e *entry) {
	s.bytes -= e.bytes
	s.ages[e.state].Remove(e.age)
	delete(s.entries, e.id)
	if s.byKey[e.id.Key] == e.id {
		delete(s.byKey, e.id.Key)
	}
}

// shrink evicts until the store is within its bounds. Finished generations go
// first: their callers have been served by the runner already. Then
// reservations: losing one may start a second generation, never mix two. A
// running one goes last and is reported, for its answer is then unprotected.
func (s *Store) shrink() {
	lost, tokens, example := 0, 0, ""
	for st := stateFinished; st < states; st++ {
		for s.over() && s.ages[st].Len() > 0 {
			e := s.ages[st].Front().Value.(*entry)
			s.drop(e)
			s.metrics.evictions.WithLabelValues(stateNames[st]).Inc()
			if st == stateRunning {
				lost, example = lost+1, e.id.String()
				tokens += longest(e)
			}
		}
	}
	if lost > 0 {
		s.opts.Recorder.Emit(EventEvictedRunning, "generations", lost, "tokens", tokens, "generation", example)
	}
	s.gauge()
}

func (s *Store) over() bool {
	return s.bytes > s.opts.MaxBytes || len(s.entries) > s.opts.MaxEntries
}

func longest(e *entry) int {
	n := 0
	for _, b := range e.branches {
		n = max(n, b.log.len())
	}
	return n
}
