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
	DefaultTerm = 9 * time.Second

	// marginShare of the term is kept back on both sides for clocks whose rates differ.
	marginShare = 10
	// renewShare: the row is renewed (or watched) this many times in a term.
	renewShare = 3
)

// Options configures a Keeper. Zero values take the defaults.
type Options struct {
	Table      backing.Table // required
	Name       string        // of the lease; the row is lease/<name>
	Holder     string        // this process and incarnation, for operators to read
	Term       time.Duration
	Candidate  func() bool // whether to wait for the lease; nil: always. Keeps hundreds of waiters from reading the row
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
}

// Keeper tries to hold one lease as long as it runs.
type Keeper struct {
	opts    Options
	margin  time.Duration
	metrics *metrics
	now     func() instant

	mu   sync.Mutex // guards held
	held grant

	// Only Run uses the fields below.
	mine    map[uint64]instant // nonces of own writes that may be or become the row, by when they were sent
	nonce   uint64             // of the newest own write
	highest Fence              // ever read or written; a row that was deleted must not start again from 1
	seen    observation
	lapsed  bool // told already
}

// grant is what the keeper knows of its own hold.
type grant struct {
	fence   Fence // 0: not held
	started instant
}

// observation is the row's version that a waiter watches, and since when.
type observation struct {
	version uint64
	since   instant
	known   bool
}

// New returns a keeper; Run makes it act.
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
		opts: opts, margin: opts.Term / marginShare, metrics: newMetrics(opts.Registerer, opts.Name),
		now: now, mine: make(map[uint64]instant), nonce: binary.BigEndian.Uint64(b[:]),
	}
}

// Held returns the fencing number and how long the hold is valid from now on.
// It is asked just before each use, not once before a series: that stops a
// holder that was paused in between and wakes after another has taken over. It
// shows as an order of the old holder after the new one's. The guard holds as
// the waiter's count of the term ends later than this one. What slips through
// between this look and the effect is stopped by the fencing number.
func (k *Keeper) Held() (Fence, time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held.fence == 0 {
		return 0, time.Time{}, false
	}
	at := k.now()
	left := k.opts.Term - k.margin - k.held.started.elapsed(at)
	if left <= 0 {
		return 0, time.Time{}, false
	}
	return k.held.fence, at.mono.Add(left), true
}

// Run holds the lease whenever it can, and releases it when ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(k.opts.Term / renewShare)
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

// step reads the row and renews it, watches it, or takes it over when it may.
func (k *Keeper) step(ctx context.Context) {
	if k.held.fence == 0 && !k.opts.Candidate() {
		k.seen = observation{} // what isn't watched all the time doesn't count
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.Term/renewShare)
	defer cancel()
	defer k.report()
	r, version, err := read(ctx, k.opts.Table, k.opts.Name)
	if err != nil {
		return
	}
	k.highest = max(k.highest, r.Epoch)
	switch {
	case k.recognise(r):
		k.commit(ctx, row{Holder: k.opts.Holder, Epoch: r.Epoch}, version)
	case k.mayTake(r, version):
		k.commit(ctx, row{Holder: k.opts.Holder, Epoch: k.highest + 1}, version)
	}
}

// recognise reports whether the row is a write of this run of the keeper, also
// one whose answer was lost: it counts from when it was sent. The holder's name
// proves nothing, as an earlier run under the same name may be paused. If the
// row is another's, a hold is over.
func (k *Keeper) recognise(r row) bool {
	if started, ok := k.mine[r.Nonce]; ok && r.Holder != "" {
		k.granted(r, started)
		return true
	}
	if k.held.fence != 0 {
		k.opts.Recorder.Emit(EventLost, "lease", k.opts.Name, "fence", k.held.fence, "holder", r.Holder)
		k.set(grant{})
	}
	return false
}

// mayTake reports whether the row is free: never held, released, or unchanged
// for the term and a margin under this process's own eyes.
func (k *Keeper) mayTake(r row, version uint64) bool {
	at := k.now()
	if !k.seen.known || k.seen.version != version {
		k.seen = observation{version: version, since: at, known: true}
	}
	if r.Holder == "" {
		return true
	}
	return k.seen.since.watched(at) >= k.opts.Term+k.margin
}

// commit writes the row if it still has the version. The term counts from
// before the write is sent: however late it takes effect, a waiter can't have
// seen it earlier.
func (k *Keeper) commit(ctx context.Context, r row, version uint64) {
	k.nonce++
	r.Nonce = k.nonce
	started := k.now()
	k.mine[r.Nonce] = started
	err := write(ctx, k.opts.Table, k.opts.Name, r, version)
	switch {
	case err == nil:
		k.granted(r, started)
	case errors.Is(err, backing.ErrUnavailable), errors.Is(err, backing.ErrThrottled):
		delete(k.mine, r.Nonce)
	default:
		k.resolve(ctx, err)
	}
}

// resolve reads the row back after a conflict or a lost answer. A write still
// under way can't hurt: it is conditional on a version, so it either becomes the
// row, which the next step recognises, or fails.
func (k *Keeper) resolve(ctx context.Context, cause error) {
	var conflict *backing.ConflictError
	if !errors.As(cause, &conflict) {
		k.opts.Recorder.Emit(EventAmbiguous, "lease", k.opts.Name, "error", cause)
	}
	r, _, err := read(ctx, k.opts.Table, k.opts.Name)
	if err == nil {
		k.recognise(r)
	}
}

// granted notes a hold and forgets the nonces of earlier writes: they were
// conditional on versions that are gone.
func (k *Keeper) granted(r row, started instant) {
	if k.held.fence != r.Epoch {
		k.opts.Recorder.Emit(EventTaken, "lease", k.opts.Name, "fence", r.Epoch, "holder", k.opts.Holder)
	}
	for nonce := range k.mine {
		if nonce < r.Nonce {
			delete(k.mine, nonce)
		}
	}
	k.highest = max(k.highest, r.Epoch)
	k.set(grant{fence: r.Epoch, started: started})
}

func (k *Keeper) set(g grant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = g
}

// release gives the lease up so that a waiter needn't watch a term out. Held is
// false before the row says so.
func (k *Keeper) release() {
	g := k.held
	if g.fence == 0 {
		return
	}
	k.set(grant{})
	ctx, cancel := context.WithTimeout(context.Background(), k.opts.Term/renewShare)
	defer cancel()
	r, version, err := read(ctx, k.opts.Table, k.opts.Name)
	if _, own := k.mine[r.Nonce]; err != nil || !own {
		return
	}
	if write(ctx, k.opts.Table, k.opts.Name, row{Epoch: r.Epoch}, version) == nil {
		k.opts.Recorder.Emit(EventReleased, "lease", k.opts.Name, "fence", g.fence)
	}
	k.metrics.held.Set(0)
}

// report sets the metrics and tells once that a hold has lapsed.
func (k *Keeper) report() {
	fence, _, ok := k.Held()
	if ok {
		k.metrics.held.Set(1)
		k.metrics.fence.Set(float64(fence))
		k.lapsed = false
		return
	}
	k.metrics.held.Set(0)
	if k.held.fence != 0 && !k.lapsed {
		k.lapsed = true
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

// Dump returns whether the lease is held here and for how long yet.
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
