package claim

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/plain"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Defaults of Options.
const (
	DefaultMaxBatch      = 64
	DefaultMaxWait       = 2 * time.Millisecond
	DefaultSaveWait      = 250 * time.Millisecond
	DefaultCommits       = 4
	DefaultCommitTimeout = 2 * time.Second
	DefaultReadTimeout   = time.Second
	DefaultVoidTimeout   = 500 * time.Millisecond
	DefaultCallTimeout   = 30 * time.Second
	DefaultMaxDeadline   = 5 * time.Minute
	DefaultRetention     = 24 * time.Hour
	DefaultSweepEvery    = 15 * time.Second
)

// SidecarClient reaches sidecars. Call returns plain.ErrNotSent if no byte of
// the request left; any other error means that the call may have arrived. It
// must not send a request twice: over net/http, a request that carries an
// Idempotency-Key header is repeated by the transport on its own.
type SidecarClient interface {
	Call(ctx context.Context, addr string, req *streampb.CallRequest) (*streampb.CallResponse, error)
	Void(ctx context.Context, addr string, req *streampb.VoidRequest) (*streampb.CallResponse, error)
}

// Options of a Coordinator. Zero durations and counts take the defaults.
type Options struct {
	Table      backing.Table
	Router     types.ProcessID
	Sidecar    SidecarClient
	Recorder   *event.Recorder
	Registerer prometheus.Registerer

	MaxBatch      int           // claims in one transaction
	MaxWait       time.Duration // that a claim waits for others
	SaveWait      time.Duration // that a final outcome waits for others; nobody waits for it
	Commits       int           // transactions under way at once
	CommitTimeout time.Duration // after which a commit counts as ambiguous
	ReadTimeout   time.Duration
	VoidTimeout   time.Duration
	CallTimeout   time.Duration // of a call without a deadline
	MaxDeadline   time.Duration // later deadlines are cut to this
	Retention     time.Duration // how long after its deadline a claim is kept
	SweepEvery    time.Duration // pause between two rounds of deletion
}

// Call is one call of a caller that may not be repeated.
type Call struct {
	RequestID    types.RequestID
	Service      string
	Organisation types.Organisation
	Key          string // the caller's idempotency key
	Method       string
	Path         string
	Header       http.Header
	Body         []byte
	Deadline     time.Time // zero: CallTimeout from now
}

// Pick chooses where a call may run; avoid names backend servers that proved
// not to have run it. It reports false if there is none.
type Pick func(avoid []string) (Target, bool)

// Coordinator runs calls at most once on behalf of one router.
type Coordinator struct {
	opts     Options
	claims   *batcher
	saves    *batcher
	finisher *finisher
	sweeper  *sweeper
	metrics  *metrics
	inFlight atomic.Int64
}

// New returns a coordinator; Run must run for Do to get answers.
func New(opts Options) *Coordinator {
	opts = withDefaults(opts)
	m := newMetrics(opts.Registerer)
	saves := newBatcher("save", opts.SaveWait, opts, m)
	return &Coordinator{
		opts:     opts,
		claims:   newBatcher("claim", opts.MaxWait, opts, m),
		saves:    saves,
		finisher: newFinisher(opts, saves, m),
		sweeper:  newSweeper(opts, m),
		metrics:  m,
	}
}

// Run gathers claims, saves outcomes and deletes old rows until ctx ends; the
// outcomes that wait then are still saved, within saveAtEnd.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	saving, saved := context.WithCancel(context.WithoutCancel(ctx))
	defer saved()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(saveAtEnd, saved) })()
	var group run.Group
	add := func(actor func() error) { group.Add(actor, func(error) { cancel() }) }
	add(func() error { return c.claims.run(ctx) })
	add(func() error { return c.sweeper.run(ctx) })
	add(func() error { return c.saves.run(saving) })
	add(func() error {
		defer saved()
		return c.finisher.run(ctx, saving)
	})
	return group.Run()
}

// Do runs a call at most once. The refusal, if any, says what is known of this
// try: not-run means that no attempt of this try ran or ever will. It says
// nothing of an earlier try under the same key whose claim could not be read.
func (c *Coordinator) Do(ctx context.Context, call Call, pick Pick) (plain.Answer, *types.Refusal) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	t := newTry(c, call, pick)
	answer, refusal := t.run(ctx)
	c.metrics.answered(refusal)
	return answer, refusal
}

// Dump is the coordinator's state as operators see it.
type Dump struct {
	InFlight     int `json:"in_flight"`     // tries under way
	QueuedClaims int `json:"queued_claims"` // that wait for a transaction
	QueuedSaves  int `json:"queued_saves"`  // outcomes that wait to be written
	Commits      int `json:"claim_commits"` // transactions of claims under way
}

// Dump returns the coordinator's state.
func (c *Coordinator) Dump() any {
	return Dump{
		InFlight:     int(c.inFlight.Load()),
		QueuedClaims: len(c.claims.queue),
		QueuedSaves:  len(c.finisher.queue),
		Commits:      len(c.claims.slots),
	}
}

func withDefaults(o Options) Options {
	setCount(&o.MaxBatch, DefaultMaxBatch)
	setCount(&o.Commits, DefaultCommits)
	setTime(&o.MaxWait, DefaultMaxWait)
	setTime(&o.SaveWait, DefaultSaveWait)
	setTime(&o.CommitTimeout, DefaultCommitTimeout)
	setTime(&o.ReadTimeout, DefaultReadTimeout)
	setTime(&o.VoidTimeout, DefaultVoidTimeout)
	setTime(&o.CallTimeout, DefaultCallTimeout)
	setTime(&o.MaxDeadline, DefaultMaxDeadline)
	setTime(&o.Retention, DefaultRetention)
	setTime(&o.SweepEvery, DefaultSweepEvery)
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	return o
}

func setCount(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}

func setTime(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
