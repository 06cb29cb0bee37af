package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Options configures a Limiter. Capacity is called for every request, Routers when
// the shares are recomputed, both concurrently; they must be cheap.
type Options struct {
	Self          types.ProcessID
	Capacity      func() int // number of slots; nil: unlimited
	Routers       func() int // number of live routers including this one; nil: 1
	DefaultQueued int        // queue length over all routers for organisations without limits of their own
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
	Now           func() time.Time
}

const (
	// unboundedCapacity is the number of slots if Options.Capacity is nil: half a
	// million, which the bits of counts can hold in every class.
	unboundedCapacity = 1 << (countBits - 2)
	// tickInterval is how often the drain rate is sampled and added capacity is
	// granted to waiting requests.
	tickInterval = 100 * time.Millisecond
)

// Limiter admits requests. While no request waits, an admission takes a few atomic
// operations and no lock.
type Limiter struct {
	opts        Options
	metrics     *metrics
	admitted    [classes]prometheus.Counter
	limits      atomic.Pointer[limitSet]    // replaced by Apply
	peers       atomic.Pointer[peerReports] // replaced by AddReports
	epoch       atomic.Uint64               // incremented when shares must be recomputed
	states      sync.Map                    // types.Organisation -> *state
	slots       slots
	slotWaiters atomic.Int64  // requests that wait for a slot, not for a permit of their organisation
	released    atomic.Uint64 // slots released so far

	mu            sync.Mutex             // guards the fields below and state.queue
	heaps         [classes]queueHeap     // queues that wait for a slot, by class
	parked        map[*orgQueue]struct{} // queues of organisations at their concurrency limit
	waitingWeight float64                // sum of the weights of organisations with waiting requests
	drain         drainMeter
	underPressure bool // whether the last event said that requests wait for slots

	peerMu    sync.Mutex // guards the fields below
	reports   map[types.ProcessID]receivedReport
	lastUsage time.Time // when Usage was last called
}

// New returns a limiter without limits for any organisation.
func New(opts Options) *Limiter {
	if opts.Capacity == nil {
		opts.Capacity = func() int { return unboundedCapacity }
	}
	if opts.Routers == nil {
		opts.Routers = func() int { return 1 }
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Registerer == nil {
		opts.Registerer = prometheus.NewRegistry()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	l := &Limiter{opts: opts, parked: map[*orgQueue]struct{}{}, reports: map[types.ProcessID]receivedReport{}, lastUsage: opts.Now()}
	l.limits.Store(&limitSet{})
	l.peers.Store(&peerReports{})
	l.metrics = newMetrics(opts.Registerer, l)
	for class := range classes {
		l.heaps[class].class = class
		l.admitted[class] = l.metrics.admitted.WithLabelValues(class.String())
	}
	return l
}

// Run calls Refresh periodically until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			l.Refresh()
		}
	}
}

// Refresh samples the drain rate, unparks the queues of organisations that are below
// their concurrency limit again, and grants free slots to waiting requests.
func (l *Limiter) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain.sample(l.opts.Now(), l.released.Load())
	// An organisation whose share has grown may have no running request whose
	// release would unpark its queue.
	for q := range l.parked {
		l.updateHeaps(q.st)
	}
	l.dispatch()
}

// Admit acquires a slot for a request of an organisation. If none is available,
// it waits in the organisation's queue until it gets one or ctx ends. It refuses
// the request immediately if it exceeds the organisation's rate limit, or if the
// queue is full or too long for ctx's deadline.
// The returned release function may be called more than once.
func (l *Limiter) Admit(ctx context.Context, org types.Organisation, class Class) (func(), *types.Refusal) {
	deadline, _ := ctx.Deadline()
	t, refusal := l.Reserve(org, class, deadline)
	if refusal != nil {
		return nil, refusal
	}
	if t.ready == nil {
		return t.Release, nil
	}
	select {
	case <-t.ready:
		return t.Release, nil
	case <-ctx.Done():
		t.Release()
		l.metrics.refused.WithLabelValues(reasonDeadline).Inc()
		return nil, types.NotRun(types.CodeDeadline, l.retryAfterWait(t.st), "no slot became free in time")
	}
}

// Reserve is like Admit, but returns without waiting. The caller waits for the
// ticket to become ready. A zero deadline means none.
func (l *Limiter) Reserve(org types.Organisation, class Class, deadline time.Time) (*Ticket, *types.Refusal) {
	now := l.opts.Now()
	st := l.state(org)
	sh := l.shareOf(st, now)
	st.requests.Add(1)
	if refusal := l.checkRate(st, sh, now); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{limiter: l, st: st, class: class}
	if l.slotWaiters.Load() == 0 && st.waiting.Load() == 0 && l.tryAdmit(st, sh, class) {
		l.admitted[class].Inc()
		return t, nil
	}
	if refusal := l.enqueue(t, sh, now, deadline); refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// tryAdmit acquires a permit of the organisation and a slot, or neither.
func (l *Limiter) tryAdmit(st *state, sh *share, class Class) bool {
	if !st.acquirePermit(sh) {
		st.lackedPermit.Store(true)
		return false
	}
	if l.slots.acquire(class, l.opts.Capacity()) {
		return true
	}
	st.inflight.Add(-1)
	return false
}

// acquirePermit acquires one of the organisation's permits at this router. Without a
// concurrency limit it always succeeds and only counts the running request.
func (st *state) acquirePermit(sh *share) bool {
	if sh.concurrent < 0 {
		st.inflight.Add(1)
		return true
	}
	for {
		n := st.inflight.Load()
		if int(n) >= sh.concurrent {
			return false
		}
		if st.inflight.CompareAndSwap(n, n+1) {
			st.updatePeak(n + 1)
			return true
		}
	}
}

// updatePeak raises the recorded peak of running requests to at least n.
func (st *state) updatePeak(n int32) {
	for {
		peak := st.peak.Load()
		if n <= peak || st.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

// Ticket is an acquired slot or a position in an organisation's queue.
type Ticket struct {
	limiter  *Limiter
	st       *state
	class    Class
	ready    chan struct{}  // closed when granted; nil: granted immediately
	queued   time.Time      // when it joined the queue
	position *queuePosition // guarded by Limiter.mu; nil if not in a queue
	done     atomic.Bool    // Release was called
}

// Ready returns a channel that is closed when the slot is granted.
func (t *Ticket) Ready() <-chan struct{} {
	if t.ready == nil {
		return closedChan
	}
	return t.ready
}

var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Release releases the slot and the permit, or leaves the queue if they aren't
// granted yet. Further calls have no effect.
func (t *Ticket) Release() {
	if !t.done.CompareAndSwap(false, true) {
		return
	}
	l := t.limiter
	if t.ready != nil && l.abandon(t) {
		return
	}
	// The slot is released before slotWaiters is read, and a request that starts
	// to wait increments slotWaiters before it looks for a slot. One of the two
	// sees the other, so no request keeps waiting while a slot is free.
	t.st.inflight.Add(-1)
	l.slots.release(t.class)
	l.released.Add(1)
	if l.slotWaiters.Load() == 0 && t.st.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateHeaps(t.st)
	l.dispatch()
}
