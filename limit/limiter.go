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

// Options of a Limiter. Capacity and Routers are called on the path of a
// request, so they must be cheap; nil stands for no bound and for one router.
type Options struct {
	Self          types.ProcessID
	Capacity      func() int // slots of the backend servers that this router may fill
	Routers       func() int // live routers, this one included
	UnnamedQueued int        // queue for organisations that the text doesn't name
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
	Now           func() time.Time
}

const (
	unboundedCapacity = 1 << (countBits - 2)
	// tickEvery is how often the drain rate is sampled and waiting requests are
	// matched with capacity that grew by itself.
	tickEvery = 100 * time.Millisecond
)

// Limiter admits requests. Without pressure an admission is a few atomic
// operations; the lock is taken only while requests wait.
type Limiter struct {
	opts     Options
	metrics  *metrics
	admitted [classes]prometheus.Counter
	table    atomic.Pointer[table]
	peers    atomic.Pointer[peers]
	epoch    atomic.Uint64
	states   sync.Map // types.Organisation -> *state
	slots    slots
	pressure atomic.Int64 // requests that wait for a slot, not for their organisation's own bound
	drained  atomic.Uint64

	mu            sync.Mutex // guards the fields below and state.line
	heaps         [classes]lineHeap
	parked        map[*line]struct{}
	waitingWeight float64
	drain         drainMeter
	pressed       bool

	peerMu   sync.Mutex // guards reports
	reports  map[types.ProcessID]received
	reported time.Time
}

// New returns a limiter with no organisation named.
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
	l := &Limiter{opts: opts, parked: map[*line]struct{}{}, reports: map[types.ProcessID]received{}, reported: opts.Now()}
	l.table.Store(&table{})
	l.peers.Store(&peers{})
	l.metrics = newMetrics(opts.Registerer, l)
	for class := range classes {
		l.heaps[class].class = class
		l.admitted[class] = l.metrics.admitted.WithLabelValues(class.String())
	}
	return l
}

// Run samples the drain rate and lets waiting requests use capacity that grew.
func (l *Limiter) Run(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			l.Kick()
		}
	}
}

// Kick matches waiting requests with free slots, as Run does on its tick.
func (l *Limiter) Kick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain.sample(l.opts.Now(), l.drained.Load())
	// An organisation whose share grew has no release of its own to wake it.
	for n := range l.parked {
		l.requeue(n.st)
	}
	l.dispatch()
}

// Admit takes a slot for a request of an organisation. It returns at once when
// there is room; else it waits in the organisation's queue until a slot is
// free or ctx ends, and refuses at once when the queue is full or the wait
// can't end within ctx's deadline. The release function may be called twice.
func (l *Limiter) Admit(ctx context.Context, org types.Organisation, class Class) (func(), *types.Refusal) {
	deadline, _ := ctx.Deadline()
	t, refusal := l.Start(org, class, deadline)
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
		return nil, types.NotRun(types.CodeDeadline, l.comeBack(t.st), "no slot became free in time")
	}
}

// Start is Admit for callers that wait by themselves. A zero deadline is none.
func (l *Limiter) Start(org types.Organisation, class Class, deadline time.Time) (*Ticket, *types.Refusal) {
	now := l.opts.Now()
	st := l.state(org)
	sh := l.shareOf(st, now)
	st.wanted.Add(1)
	if refusal := l.checkRate(st, sh, now); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{limiter: l, st: st, class: class}
	if l.pressure.Load() == 0 && st.waiting.Load() == 0 && l.takeBoth(st, sh, class) {
		l.admitted[class].Inc()
		return t, nil
	}
	if refusal := l.enqueue(t, sh, now, deadline); refusal != nil {
		return nil, refusal
	}
	return t, nil
}

// takeBoth takes one of the organisation's own places and one slot.
func (l *Limiter) takeBoth(st *state, sh *share, class Class) bool {
	if !st.enter(sh) {
		st.pressed.Store(true)
		return false
	}
	if l.slots.take(class, l.opts.Capacity()) {
		return true
	}
	st.inflight.Add(-1)
	return false
}

// enter takes one of the places that the organisation has at this router.
func (st *state) enter(sh *share) bool {
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
			st.raisePeak(n + 1)
			return true
		}
	}
}

func (st *state) raisePeak(n int32) {
	for {
		peak := st.peak.Load()
		if n <= peak || st.peak.CompareAndSwap(peak, n) {
			return
		}
	}
}

// Ticket is a slot taken, or a place in a queue.
type Ticket struct {
	limiter *Limiter
	st      *state
	class   Class
	ready   chan struct{} // nil: granted from the start
	queued  time.Time
	spot    *spot // guarded by Limiter.mu; nil once granted or given up
	done    atomic.Bool
}

// Ready is closed when the slot is granted.
func (t *Ticket) Ready() <-chan struct{} {
	if t.ready == nil {
		return closed
	}
	return t.ready
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Release gives the slot, or the place in the queue, back. Only the first call counts.
func (t *Ticket) Release() {
	if !t.done.CompareAndSwap(false, true) {
		return
	}
	l := t.limiter
	if t.ready != nil && l.giveUp(t) {
		return
	}
	// The slot is put back before the pressure is read, while a request that
	// comes to wait adds to the pressure before it looks for a slot: one of the
	// two sees the other, so no request waits beside a free slot.
	t.st.inflight.Add(-1)
	l.slots.put(t.class)
	l.drained.Add(1)
	if l.pressure.Load() == 0 && t.st.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requeue(t.st)
	l.dispatch()
}
