package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Defaults of SyncerOptions.
const (
	DefaultPollInterval    = 10 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultShortTimeout    = 500 * time.Millisecond
	DefaultPushConcurrency = 64
)

// Source fetches the configurations that other processes have in force.
type Source interface {
	// Fetch returns the configuration in force at a process if its revision is rev or later.
	Fetch(ctx context.Context, from string, rev types.Revision) (types.Revision, []byte, error)
	// Peek returns the revision in force at a process.
	Peek(ctx context.Context, addr string) (types.Revision, error)
}

// RevisionStore is the part of a Store that a Syncer uses.
type RevisionStore interface {
	Head(ctx context.Context) (Head, error)
	Load(ctx context.Context, rev types.Revision) ([]byte, error)
}

// SyncerOptions configure a Syncer. Holder and Source are required.
type SyncerOptions struct {
	Holder     *Holder
	Store      RevisionStore // nil: the process has no store and relies on its peers
	Source     Source
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
	// PollInterval is the time between polls of the store, jittered by a quarter.
	PollInterval time.Duration
	// CallTimeout bounds one call to the store or to a peer.
	CallTimeout time.Duration
	// ShortTimeout bounds one push, a request for a peer's revision, and how long
	// a store or a peer that doesn't respond delays the requests to others. It is
	// short because an unresponsive process delays the rest, and its revision can
	// be had from another peer or the store.
	ShortTimeout time.Duration
	// PushConcurrency is the number of pushes, or of requests for peers' revisions, that
	// run at once.
	PushConcurrency int
}

// Syncer fetches newer revisions into its holder, from the store and from peers.
type Syncer struct {
	opts     SyncerOptions
	metrics  *syncMetrics
	hint     atomic.Pointer[hint] // the peer to fetch from next; nil: none
	wake     chan struct{}        // wakes Run when there is a hint
	attempts fetchAttempts
	inFlight sync.WaitGroup // calls in flight
	polls    pollTracker
}

// hint is a process that was seen with a newer revision.
type hint struct {
	addr string
	rev  types.Revision
}

// NewSyncer returns a syncer; Run starts its work.
func NewSyncer(opts SyncerOptions) *Syncer {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.PollInterval <= 0 {
		opts.PollInterval = DefaultPollInterval
	}
	if opts.CallTimeout <= 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.ShortTimeout <= 0 {
		opts.ShortTimeout = DefaultShortTimeout
	}
	if opts.PushConcurrency <= 0 {
		opts.PushConcurrency = DefaultPushConcurrency
	}
	return &Syncer{opts: opts, metrics: newSyncMetrics(opts.Registerer), wake: make(chan struct{}, 1)}
}

// RecordPeerRevision is called with the revision in each stamp from a peer (see package
// peer). It only records a newer revision; Run fetches it.
func (s *Syncer) RecordPeerRevision(addr string, rev types.Revision) {
	if rev <= s.opts.Holder.Revision() {
		return
	}
	next := &hint{addr: addr, rev: rev}
	for {
		old := s.hint.Load()
		if !s.attempts.prefer(next, old) {
			return
		}
		if s.hint.CompareAndSwap(old, next) {
			break
		}
	}
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is pending already, after which Run reads the hint
	}
}

// Run polls the store and fetches from peers until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.inFlight.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			s.pollStore(ctx)
			timer.Reset(jitter(s.opts.PollInterval))
		case <-s.wake:
			s.followHint(ctx)
		}
	}
}

// jitter varies the poll interval, so that processes that started together don't
// keep polling the store at the same time.
func jitter(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2+1)
}

// followHint fetches from the peer in the hint, and polls the store if the fetch fails
// or gets no response.
func (s *Syncer) followHint(ctx context.Context) {
	seen := s.hint.Swap(nil)
	if seen == nil || seen.rev <= s.opts.Holder.Revision() || s.attempts.inFlight(seen) {
		return
	}
	err := s.waitCall(ctx, func(ctx context.Context) error {
		err := s.fetch(ctx, seen.addr, seen.rev)
		if err != nil {
			s.opts.Recorder.Emit(EventFetchFailed, "from", seen.addr, "revision", seen.rev, "error", err)
		}
		return err
	})
	// No poll is started while another is in flight: each poll of an unresponsive store
	// would delay the next hint by ShortTimeout.
	if err != nil && !s.polls.anyInFlight() {
		s.pollStore(ctx)
	}
}

func (s *Syncer) fetch(ctx context.Context, addr string, rev types.Revision) error {
	defer s.attempts.begin(addr, rev)()
	start := s.opts.Holder.opts.Now()
	got, raw, err := s.opts.Source.Fetch(ctx, addr, rev)
	if err != nil {
		s.metrics.fetches.WithLabelValues("error").Inc()
		return err
	}
	taken, err := s.opts.Holder.Offer(got, raw)
	s.opts.Holder.RecordConfirmation(got, start)
	if err != nil || !taken {
		s.metrics.fetches.WithLabelValues("old").Inc()
		return err
	}
	s.attempts.reset()
	s.metrics.fetches.WithLabelValues("taken").Inc()
	s.opts.Recorder.Emit(EventFetched, "from", addr, "revision", got)
	return nil
}

// FetchNewest fetches the newest configuration that the given processes have, and
// reports whether one is in force afterwards. A process calls it at startup, so
// that it gets a configuration while the store is down. It requests the revisions
// first, so that only one process sends its configuration unless it is unresponsive.
func (s *Syncer) FetchNewest(ctx context.Context, addrs []string) bool {
	candidates := s.peekAll(ctx, addrs)
	for len(candidates) > 0 {
		best := newestHint(candidates)
		if candidates[best].rev <= s.opts.Holder.Revision() {
			break
		}
		from := candidates[best]
		if s.waitCall(ctx, func(ctx context.Context) error { return s.fetch(ctx, from.addr, from.rev) }) == nil {
			break
		}
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return s.opts.Holder.Current() != nil
}

func (s *Syncer) peekAll(ctx context.Context, addrs []string) []hint {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ShortTimeout)
	defer cancel()
	revisions := make([]types.Revision, len(addrs))
	var group errgroup.Group
	group.SetLimit(s.opts.PushConcurrency)
	for i, addr := range addrs {
		group.Go(func() error {
			revisions[i], _ = s.opts.Source.Peek(ctx, addr) // 0 if the process doesn't respond
			return nil
		})
	}
	_ = group.Wait()
	var known []hint
	for i, rev := range revisions {
		if rev > 0 {
			known = append(known, hint{addr: addrs[i], rev: rev})
		}
	}
	return known
}

// newestHint returns the index of a hint with the highest revision.
func newestHint(hints []hint) int {
	best := 0
	for i := range hints {
		if hints[i].rev > hints[best].rev {
			best = i
		}
	}
	return best
}
