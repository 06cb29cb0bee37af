package lease

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
)

// Defaults of a Keeper.
const (
	// DefaultTerm is how long a hold lasts without a renewal.
	DefaultTerm = 9 * time.Second

	// marginDivisor divides the term to get the margin, by which holders count the
	// term shorter and waiters longer, since the rates of their clocks may differ.
	marginDivisor = 10
	// stepsPerTerm is how often the row is renewed, or read by a waiter, in a term.
	stepsPerTerm = 3
)

// Options configures a Keeper. Zero values take the defaults.
type Options struct {
	Table      backing.Table // required
	Name       string        // of the lease; the row is lease/<name>
	Holder     string        // process and incarnation, shown to operators
	Term       time.Duration
	Candidate  func() bool // reports whether this process waits for the lease, so that not all of hundreds of processes read the row; nil: always
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
}

// Keeper acquires and renews one lease while it runs.
type Keeper struct {
	opts    Options
	margin  time.Duration
	metrics *metrics
	now     func() instant

	mu   sync.Mutex // protects writes to held, and reads outside Run
	held hold

	// Only Run uses the fields below.
	ownWrites     map[uint64]instant // by nonce, when each own write was sent that is the current row or may still become it
	nonce         uint64             // of the newest own write
	highest       Fence              // highest number ever read or written: if the row is deleted, numbers must not start again from 1
	watched       observation
	lapseReported bool // the end of the current hold was reported
}

// hold is the keeper's own hold of the lease.
type hold struct {
	fence   Fence   // 0: not held
	started instant // when the write was sent that began the current term
}

// observation is the row version that a waiter watches, and since when.
type observation struct {
	version uint64
	since   instant
	known   bool
}

// New returns a keeper. It does nothing until Run is called.
func New(opts Options) *Keeper {
	if opts.Term == 0 {
		opts.Term = DefaultTerm
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Candidate == nil {
		opts.Candidate = func() bool { return true }
	}
	var b [8]byte
	_, _ = rand.Read(b[:])
	return &Keeper{
		opts: opts, margin: opts.Term / marginDivisor, metrics: newMetrics(opts.Registerer, opts.Name),
		now: now, ownWrites: make(map[uint64]instant), nonce: binary.BigEndian.Uint64(b[:]),
	}
}

// Held returns the fencing number and the time until which the lease is held, or
// false if it isn't. Callers must call it just before each action, not once before
// a series: otherwise a holder that was paused in between acts after another
// process has taken over, which shows as an order of the old holder after one of
// the new holder. The check is sufficient because a waiter counts the term longer
// than Held does. A pause between the check and the effect of the action is covered
// by the fencing number.
func (k *Keeper) Held() (Fence, time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held.fence == 0 {
		return 0, time.Time{}, false
	}
	at := k.now()
	left := k.opts.Term - k.margin - k.held.started.maxElapsed(at)
	if left <= 0 {
		return 0, time.Time{}, false
	}
	return k.held.fence, at.mono.Add(left), true
}

// Run acquires and renews the lease whenever it can, and releases it when ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(k.opts.Term / stepsPerTerm)
	defer tick.Stop()
	for {
		k.step(ctx)
		select {
		case <-ctx.Done():
			k.release()
			return nil
		case <-tick.C:
		}
	}
}

// step reads the row, and renews it, watches it or takes it over.
func (k *Keeper) step(ctx context.Context) {
	if k.held.fence == 0 && !k.opts.Candidate() {
		k.watched = observation{} // a version counts as unchanged only if it was watched all the time
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.Term/stepsPerTerm)
	defer cancel()
	defer k.report()
	r, version, err := read(ctx, k.opts.Table, k.opts.Name)
	if err != nil {
		return
	}
	k.highest = max(k.highest, r.Epoch)
	switch {
	case k.checkHold(r):
		k.commit(ctx, row{Holder: k.opts.Holder, Epoch: r.Epoch}, version)
	case k.mayTakeOver(r, version):
		k.commit(ctx, row{Holder: k.opts.Holder, Epoch: k.highest + 1}, version)
	}
}

// checkHold reports whether the row was written by this run of the keeper, and
// records the hold, with its term counted from when the write was sent. This
// includes writes whose response was lost. The holder's name proves nothing, since
// an earlier run with the same name may be paused. If the row is not an own
// write, because another process has taken over or the row was deleted, the hold
// ends.
func (k *Keeper) checkHold(r row) bool {
	if started, ok := k.ownWrites[r.Nonce]; ok && r.Holder != "" {
		k.recordHold(r, started)
		return true
	}
	if k.held.fence != 0 {
		k.opts.Recorder.Emit(EventLost, "lease", k.opts.Name, "fence", k.held.fence, "holder", r.Holder)
		k.setHeld(hold{})
	}
	return false
}

// mayTakeOver reports whether the lease is free: it was never held, it was
// released, or this process has watched the row without a change for the term and
// the margin.
func (k *Keeper) mayTakeOver(r row, version uint64) bool {
	at := k.now()
	if !k.watched.known || k.watched.version != version {
		k.watched = observation{version: version, since: at, known: true}
	}
	if r.Holder == "" {
		return true
	}
	return k.watched.since.minElapsed(at) >= k.opts.Term+k.margin
}

// commit writes the row if it still has the given version. The term counts from
// before the write is sent: no waiter can have seen the write earlier, however
// late it takes effect.
func (k *Keeper) commit(ctx context.Context, r row, version uint64) {
	k.nonce++
	r.Nonce = k.nonce
	started := k.now()
	k.ownWrites[r.Nonce] = started
	err := write(ctx, k.opts.Table, k.opts.Name, r, version)
	switch {
	case err == nil:
		k.recordHold(r, started)
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrThrottled): // the write had no effect
		delete(k.ownWrites, r.Nonce)
	default:
		k.resolve(ctx, err)
	}
}

// resolve reads the row back after a conflict or a lost response. A write that is
// still in transit does no harm: it is conditional on a version, so it either fails
// or becomes the row, which the next step finds to be its own.
func (k *Keeper) resolve(ctx context.Context, cause error) {
	var conflict *backing.ConflictError
	if !errors.As(cause, &conflict) {
		k.opts.Recorder.Emit(EventWriteAmbiguous, "lease", k.opts.Name, "error", cause)
	}
	r, _, err := read(ctx, k.opts.Table, k.opts.Name)
	if err == nil {
		k.checkHold(r)
	}
}

// recordHold records a hold and deletes the nonces of earlier writes, which were
// conditional on versions that no longer exist.
func (k *Keeper) recordHold(r row, started instant) {
	if k.held.fence != r.Epoch {
		k.opts.Recorder.Emit(EventAcquired, "lease", k.opts.Name, "fence", r.Epoch, "holder", k.opts.Holder)
	}
	for nonce := range k.ownWrites {
		if nonce < r.Nonce {
			delete(k.ownWrites, nonce)
		}
	}
	k.highest = max(k.highest, r.Epoch)
	k.setHeld(hold{fence: r.Epoch, started: started})
}

func (k *Keeper) setHeld(h hold) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = h
}

// release releases the lease, so that a waiter needn't wait for the term to end.
// Held returns false before the row is written.
func (k *Keeper) release() {
	h := k.held
	if h.fence == 0 {
		return
	}
	k.setHeld(hold{})
	ctx, cancel := context.WithTimeout(context.Background(), k.opts.Term/stepsPerTerm)
	defer cancel()
	r, version, err := read(ctx, k.opts.Table, k.opts.Name)
	if _, own := k.ownWrites[r.Nonce]; err != nil || !own {
		return
	}
	if write(ctx, k.opts.Table, k.opts.Name, row{Epoch: r.Epoch}, version) == nil {
		k.opts.Recorder.Emit(EventReleased, "lease", k.opts.Name, "fence", h.fence)
	}
	k.metrics.held.Set(0)
}

// report sets the metrics, and emits EventLapsed once for each hold that lapses.
func (k *Keeper) report() {
	fence, _, ok := k.Held()
	if ok {
		k.metrics.held.Set(1)
		k.metrics.fence.Set(float64(fence))
		k.lapseReported = false
		return
	}
	k.metrics.held.Set(0)
	if k.held.fence != 0 && !k.lapseReported {
		k.lapseReported = true
		k.opts.Recorder.Emit(EventLapsed, "lease", k.opts.Name, "fence", k.held.fence)
	}
}

// Dump is the state of a Keeper.
type Dump struct {
	Name   string `json:"name"`
	Holder string `json:"holder"` // this process
	Held   bool   `json:"held"`
	Fence  Fence  `json:"fence,omitempty"`
	LeftMS int64  `json:"left_ms,omitempty"`
}

// Dump returns whether this process holds the lease and for how long.
func (k *Keeper) Dump() Dump {
	d := Dump{Name: k.opts.Name, Holder: k.opts.Holder}
	fence, until, ok := k.Held()
	if ok {
		d.Held, d.Fence, d.LeftMS = true, fence, time.Until(until).Milliseconds()
	}
	return d
}

type metrics struct{ held, fence prometheus.Gauge }

func newMetrics(reg prometheus.Registerer, name string) *metrics {
	labels := prometheus.Labels{"lease": name}
	m := &metrics{
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_lease_held", Help: "1 while this process holds the lease.", ConstLabels: labels}),
		fence: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pearyard_lease_fence", Help: "Fencing number of this process's newest hold.", ConstLabels: labels}),
	}
	if reg != nil {
		reg.MustRegister(m.held, m.fence)
	}
	return m
}
