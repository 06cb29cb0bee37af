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
	DefaultMaxBytes           = 64 << 20
	DefaultMaxEntries         = 20_000
	DefaultRetention          = 2 * time.Minute
	DefaultReservationTimeout = 30 * time.Second
	DefaultAbandonTimeout     = 10 * time.Minute

	// maxBranches limits the attempts that are kept separately for one generation.
	maxBranches   = 4
	sweepInterval = time.Second
	// writerSilenceTimeout is how long a branch may go without a record before its writer
	// is presumed lost.
	writerSilenceTimeout = 10 * time.Second
)

// StoreOptions configures a Store. Zero values take the defaults.
type StoreOptions struct {
	MaxBytes           int           // limit on held tokens and their overhead
	MaxEntries         int           // limit on generations and reservations
	Retention          time.Duration // how long finished generations are kept
	ReservationTimeout time.Duration // how long a reservation is kept if no generation follows
	AbandonTimeout     time.Duration // how long a running generation is kept without a record
	Recorder           *event.Recorder
	Registerer         prometheus.Registerer
}

func (o StoreOptions) withDefaults() StoreOptions {
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.ReservationTimeout == 0 {
		o.ReservationTimeout = DefaultReservationTimeout
	}
	if o.AbandonTimeout == 0 {
		o.AbandonTimeout = DefaultAbandonTimeout
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	return o
}

// Store holds in bounded memory the tokens that writers on other sidecars journal.
type Store struct {
	opts    StoreOptions
	metrics *storeMetrics

	mu      sync.Mutex // guards all fields below; not taken on a token's path to its caller
	entries map[types.GenerationID]*entry
	byKey   map[types.Key]types.GenerationID
	retain  time.Duration         // how long finished generations are kept
	byState [numStates]*list.List // of *entry, least recently changed first
	bytes   int                   // sum of the entries' accountedBytes
}

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	s := &Store{
		opts:    opts.withDefaults(),
		metrics: newStoreMetrics(opts.Registerer),
		entries: make(map[types.GenerationID]*entry),
		byKey:   make(map[types.Key]types.GenerationID),
	}
	s.retain = s.opts.Retention
	for i := range s.byState {
		s.byState[i] = list.New()
	}
	return s
}

// SetRetention changes how long finished generations are kept, as the configuration's
// retainMillis requires.
func (s *Store) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retain = d
}

// Run expires entries until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
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

// Sweep drops the entries whose retention has expired.
func (s *Store) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(stateFinished, now.Add(-s.retain))
	s.expire(stateReserved, now.Add(-s.opts.ReservationTimeout))
	s.expire(stateRunning, now.Add(-s.opts.AbandonTimeout))
	s.updateGauges()
}

func (s *Store) expire(st state, before time.Time) {
	for front := s.byState[st].Front(); front != nil; front = s.byState[st].Front() {
		e := front.Value.(*entry)
		if e.lastChanged.After(before) {
			return
		}
		s.drop(e)
	}
}

// getOrCreate returns the entry of a generation, creating it if necessary.
func (s *Store) getOrCreate(id types.GenerationID) *entry {
	e := s.entries[id]
	if e == nil {
		e = &entry{id: id, state: stateReserved}
		e.element = s.byState[stateReserved].PushBack(e)
		s.entries[id] = e
	}
	return e
}

// touch updates the accounting after a change of e and moves it to the most recently
// changed end of its list.
func (s *Store) touch(e *entry) {
	e.lastChanged = time.Now()
	s.bytes -= e.accountedBytes
	e.accountedBytes = e.size()
	s.bytes += e.accountedBytes
	s.byState[e.state].Remove(e.element)
	e.state = e.classify()
	e.element = s.byState[e.state].PushBack(e)
	s.claimKey(e)
}

// claimKey maps the request key of e to it, unless the key is already mapped to another
// generation that has branches, or both are only reservations: the first generation wins.
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
	s.bytes -= e.accountedBytes
	s.byState[e.state].Remove(e.element)
	delete(s.entries, e.id)
	if s.byKey[e.id.Key] == e.id {
		delete(s.byKey, e.id.Key)
	}
}

// evict drops entries until the store is within its limits. Finished generations go first,
// because their runner has served their callers already, and reservations second: losing
// one may start a second generation but never mixes two. Running generations go last, and
// this is reported because their answers are then no longer protected.
func (s *Store) evict() {
	lost, tokens, example := 0, 0, ""
	for st := stateFinished; st < numStates; st++ {
		for s.overLimits() && s.byState[st].Len() > 0 {
			e := s.byState[st].Front().Value.(*entry)
			s.drop(e)
			s.metrics.evictions.WithLabelValues(stateNames[st]).Inc()
			if st == stateRunning {
				lost, example = lost+1, e.id.String()
				tokens += maxBranchTokens(e)
			}
		}
	}
	if lost > 0 {
		s.opts.Recorder.Emit(EventEvictedRunning, "generations", lost, "tokens", tokens, "generation", example)
	}
	s.updateGauges()
}

func (s *Store) overLimits() bool {
	return s.bytes > s.opts.MaxBytes || len(s.entries) > s.opts.MaxEntries
}

func maxBranchTokens(e *entry) int {
	n := 0
	for _, b := range e.branches {
		n = max(n, b.log.len())
	}
	return n
}
