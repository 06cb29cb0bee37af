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

// Defaults of SpreaderOptions.
const (
	DefaultPollInterval    = 10 * time.Second
	DefaultCallTimeout     = 2 * time.Second
	DefaultShortTimeout    = 500 * time.Millisecond
	DefaultPushConcurrency = 64
)

// Source hands over texts that other processes have in force.
type Source interface {
	// Fetch returns the text in force at a process if it is rev or later.
	Fetch(ctx context.Context, from string, rev types.Revision) (types.Revision, []byte, error)
	// Peek returns the revision in force at a process.
	Peek(ctx context.Context, addr string) (types.Revision, error)
}

// Versions is what a Spreader needs of a Store.
type Versions interface {
	Head(ctx context.Context) (Head, error)
	Load(ctx context.Context, rev types.Revision) ([]byte, error)
}

// SpreaderOptions configure a Spreader. Holder and Source are required.
type SpreaderOptions struct {
	Holder     *Holder
	Versions   Versions // nil: the process has no store and relies on its peers
	Source     Source
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
	// Interval lies between two polls of the store; it is jittered by a quarter.
	Interval time.Duration
	// CallTimeout bounds one call to the store or to a peer.
	CallTimeout time.Duration
	// ShortTimeout bounds one push, the question for a peer's revision, and how
	// long a store or a peer that is silent keeps others from being asked.
	// Processes that don't answer hold up the rest, and there are other ways.
	ShortTimeout time.Duration
	// PushConcurrency is how many pushes run at once.
	PushConcurrency int
}

// Spreader brings newer revisions into its holder.
type Spreader struct {
	opts    SpreaderOptions
	metrics *spreadMetrics
	hint    atomic.Pointer[hint]
	wake    chan struct{}
	asked   asked
	open    sync.WaitGroup // questions without an answer yet
	polls   pollOrder
}

// hint says which process was seen with a newer revision.
type hint struct {
	addr string
	rev  types.Revision
}

// NewSpreader returns a spreader; Run makes it work.
func NewSpreader(opts SpreaderOptions) *Spreader {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Interval <= 0 {
		opts.Interval = DefaultPollInterval
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
	return &Spreader{opts: opts, metrics: newSpreadMetrics(opts.Registerer), wake: make(chan struct{}, 1)}
}

// Seen is called with the revision in each stamp that comes from a peer. It
// only takes note: the fetch is Run's work.
func (s *Spreader) Seen(addr string, rev types.Revision) {
	if rev <= s.opts.Holder.Revision() {
		return
	}
	next := &hint{addr: addr, rev: rev}
	for {
		old := s.hint.Load()
		if !s.asked.better(next, old) {
			return
		}
		if s.hint.CompareAndSwap(old, next) {
			break
		}
	}
	select {
	case s.wake <- struct{}{}:
	default: // Run is awake already and will read the hint
	}
}

// Run polls the store and fetches from peers until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	defer s.open.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			s.poll(ctx)
			timer.Reset(jitter(s.opts.Interval))
		case <-s.wake:
			s.follow(ctx)
		}
	}
}

// jitter spreads polls, so that processes that started together don't keep
// meeting at the store.
func jitter(d time.Duration) time.Duration {
	return d - d/4 + rand.N(d/2+1)
}

// follow fetches from the process that was seen with the newest revision, and
// asks the store if that fails or is silent.
func (s *Spreader) follow(ctx context.Context) {
	seen := s.hint.Swap(nil)
	if seen == nil || seen.rev <= s.opts.Holder.Revision() || s.asked.open(seen) {
		return
	}
	err := s.inTurn(ctx, func(ctx context.Context) error {
		err := s.fetch(ctx, seen.addr, seen.rev)
		if err != nil {
			s.opts.Recorder.Emit(EventFetchFailed, "from", seen.addr, "revision", seen.rev, "error", err)
		}
		return err
	})
	// A store that is silent already is not asked again for each peer that is.
	if err != nil && !s.polls.waiting() {
		s.poll(ctx)
	}
}

func (s *Spreader) fetch(ctx context.Context, addr string, rev types.Revision) error {
	defer s.asked.begin(addr, rev)()
	begun := s.opts.Holder.opts.Now()
	got, raw, err := s.opts.Source.Fetch(ctx, addr, rev)
	if err != nil {
		s.metrics.fetches.WithLabelValues("error").Inc()
		return err
	}
	taken, err := s.opts.Holder.Offer(got, raw)
	s.opts.Holder.Confirmed(got, begun)
	if err != nil || !taken {
		s.metrics.fetches.WithLabelValues("old").Inc()
		return err
	}
	s.asked.forget()
	s.metrics.fetches.WithLabelValues("taken").Inc()
	s.opts.Recorder.Emit(EventFetched, "from", addr, "revision", got)
	return nil
}

// Ask brings in the newest text that the given processes have, and reports
// whether there is one in force then. A process calls it when it starts, so
// that it gets the text while the store is down. Revisions are asked for
// first, so that the text comes from one process only, unless that is silent.
func (s *Spreader) Ask(ctx context.Context, addrs []string) bool {
	candidates := s.peekAll(ctx, addrs)
	for len(candidates) > 0 {
		best := newest(candidates)
		if candidates[best].rev <= s.opts.Holder.Revision() {
			break
		}
		from := candidates[best]
		if s.inTurn(ctx, func(ctx context.Context) error { return s.fetch(ctx, from.addr, from.rev) }) == nil {
			break
		}
		candidates = append(candidates[:best], candidates[best+1:]...)
	}
	return s.opts.Holder.Current() != nil
}

func (s *Spreader) peekAll(ctx context.Context, addrs []string) []hint {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ShortTimeout)
	defer cancel()
	revisions := make([]types.Revision, len(addrs))
	var group errgroup.Group
	group.SetLimit(s.opts.PushConcurrency)
	for i, addr := range addrs {
		group.Go(func() error {
			revisions[i], _ = s.opts.Source.Peek(ctx, addr) // 0 from one that doesn't answer
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

func newest(hints []hint) int {
	best := 0
	for i := range hints {
		if hints[i].rev > hints[best].rev {
			best = i
		}
	}
	return best
}
