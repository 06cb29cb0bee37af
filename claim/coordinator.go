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
	DefaultMaxBatch       = 64
	DefaultMaxBatchDelay  = 2 * time.Millisecond
	DefaultSaveBatchDelay = 250 * time.Millisecond
	DefaultMaxCommits     = 4
	DefaultCommitTimeout  = 2 * time.Second
	DefaultReadTimeout    = time.Second
	DefaultVoidTimeout    = 500 * time.Millisecond
	DefaultCallTimeout    = 30 * time.Second
	DefaultMaxDeadline    = 5 * time.Minute
	DefaultRetention      = 24 * time.Hour
	DefaultSweepInterval  = 15 * time.Second
)

// SidecarClient sends calls and void requests to sidecars. Call returns
// plain.ErrNotSent if no byte of the request was sent; after any other error the
// call may have arrived. Call must not send a request twice: the transport of
// net/http resends requests with an Idempotency-Key header on its own.
type SidecarClient interface {
	Call(ctx context.Context, addr string, req *streampb.CallRequest) (*streampb.CallResponse, error)
	Void(ctx context.Context, addr string, req *streampb.VoidRequest) (*streampb.CallResponse, error)
}

// Options configures a Coordinator. Zero durations and counts take the defaults.
type Options struct {
	Table      backing.Table   // required
	Router     types.ProcessID // written into claims
	Sidecar    SidecarClient   // required
	Recorder   *event.Recorder
	Registerer prometheus.Registerer

	MaxBatch       int           // maximum number of claims or outcomes in one transaction
	MaxBatchDelay  time.Duration // how long a claim waits for others to share its transaction
	SaveBatchDelay time.Duration // the same for a final outcome; longer, since no caller waits for it
	MaxCommits     int           // maximum number of concurrent transactions of claims, and of outcomes
	CommitTimeout  time.Duration // after which a commit counts as ambiguous
	ReadTimeout    time.Duration // of a read of a claim row
	VoidTimeout    time.Duration // of a void request to a sidecar
	CallTimeout    time.Duration // of a call without a deadline
	MaxDeadline    time.Duration // from now; later deadlines are reduced to this
	Retention      time.Duration // how long a claim is kept after its deadline
	SweepInterval  time.Duration // mean pause between two sweeps for expired claims
}

// Call is a call that must run at most once.
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

// Pick selects the target of a call. It skips the backend servers in avoid, which
// are known not to have run the call, and reports false if no target is left.
type Pick func(avoid []string) (Target, bool)

// Coordinator runs the calls of one router at most once.
type Coordinator struct {
	opts     Options
	claims   *batcher
	saves    *batcher
	outcomes *outcomeWriter
	sweeper  *sweeper
	metrics  *metrics
	inFlight atomic.Int64
}

// New returns a coordinator. Do works only while Run is running.
func New(opts Options) *Coordinator {
	opts = withDefaults(opts)
	m := newMetrics(opts.Registerer)
	saves := newBatcher("save", opts.SaveBatchDelay, opts, m)
	return &Coordinator{
		opts:     opts,
		claims:   newBatcher("claim", opts.MaxBatchDelay, opts, m),
		saves:    saves,
		outcomes: newOutcomeWriter(opts, saves, m),
		sweeper:  newSweeper(opts, m),
		metrics:  m,
	}
}

// Run commits claims, saves outcomes and deletes expired rows until ctx ends.
// Outcomes still queued then are saved before it returns, within
// shutdownSaveTimeout.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// saveCtx ends when the queued outcomes are saved, or shutdownSaveTimeout after
	// ctx.
	saveCtx, stopSaving := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSaving()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(shutdownSaveTimeout, stopSaving) })()
	var group run.Group
	add := func(actor func() error) { group.Add(actor, func(error) { cancel() }) }
	add(func() error { return c.claims.run(ctx) })
	add(func() error { return c.sweeper.run(ctx) })
	add(func() error { return c.saves.run(saveCtx) })
	add(func() error {
		defer stopSaving()
		return c.outcomes.run(ctx, saveCtx)
	})
	return group.Run()
}

// Do runs a call at most once. A refusal's outcome describes this request alone:
// not-run means that no attempt of this request has run or ever will. It says
// nothing about an earlier request with the same key whose claim could not be
// read.
func (c *Coordinator) Do(ctx context.Context, call Call, pick Pick) (plain.Answer, *types.Refusal) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	req := newRequest(c, call, pick)
	answer, refusal := req.run(ctx)
	c.metrics.countAnswer(refusal)
	return answer, refusal
}

// Dump is the coordinator's state as shown to operators.
type Dump struct {
	InFlight     int `json:"in_flight"`     // requests in progress
	QueuedClaims int `json:"queued_claims"` // claims that wait for a transaction
	QueuedSaves  int `json:"queued_saves"`  // outcomes that wait to be saved
	Commits      int `json:"claim_commits"` // claim transactions in progress
}

// Dump returns the coordinator's state.
func (c *Coordinator) Dump() any {
	return Dump{
		InFlight:     int(c.inFlight.Load()),
		QueuedClaims: len(c.claims.queue),
		QueuedSaves:  len(c.outcomes.queue),
		Commits:      len(c.claims.commitSlots),
	}
}

func withDefaults(o Options) Options {
	defaultCount(&o.MaxBatch, DefaultMaxBatch)
	defaultCount(&o.MaxCommits, DefaultMaxCommits)
	defaultDuration(&o.MaxBatchDelay, DefaultMaxBatchDelay)
	defaultDuration(&o.SaveBatchDelay, DefaultSaveBatchDelay)
	defaultDuration(&o.CommitTimeout, DefaultCommitTimeout)
	defaultDuration(&o.ReadTimeout, DefaultReadTimeout)
	defaultDuration(&o.VoidTimeout, DefaultVoidTimeout)
	defaultDuration(&o.CallTimeout, DefaultCallTimeout)
	defaultDuration(&o.MaxDeadline, DefaultMaxDeadline)
	defaultDuration(&o.Retention, DefaultRetention)
	defaultDuration(&o.SweepInterval, DefaultSweepInterval)
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	return o
}

func defaultCount(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}

func defaultDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
