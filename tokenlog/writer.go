package tokenlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// Defaults of a Writer.
const (
	DefaultBatchInterval  = 500 * time.Millisecond
	DefaultMinAge         = 5 * time.Second
	DefaultCopies         = 2
	DefaultSendTimeout    = time.Second
	DefaultWriterMaxBytes = 32 << 20

	// maxAppendBytes limits one append, so that resending a long answer doesn't delay
	// other generations on the same peer.
	maxAppendBytes = 256 << 10
	// maxFailures is the number of consecutive failures after which a peer counts as down.
	maxFailures = 2
	// maxResends is how often a generation is sent in full again to a peer that keeps
	// losing it; beyond that the peer is assumed to lack memory for it.
	maxResends = 3
	// downDuration is how long a failed peer isn't assigned generations.
	downDuration = 10 * time.Second
	// assignInterval is the minimum time between attempts to find more peers for a
	// generation that has too few.
	assignInterval = 3 * time.Second
	// neverJournal is the value of MinAge from which on no tokens are journalled at all,
	// not even those of a resumed attempt.
	neverJournal = 24 * time.Hour
)

// ErrClosed means that the writer was closed before the append was acknowledged.
var ErrClosed = errors.New("journal: writer closed")

// Sender sends an append to the sidecar at addr.
type Sender interface {
	Append(ctx context.Context, addr string, in *streampb.JournalAppend) (*streampb.JournalAppended, error)
}

// WriterOptions configures a Writer. Zero values take the defaults.
type WriterOptions struct {
	Self          string        // address of this sidecar, recorded as the runner
	Sender        Sender        // required
	BatchInterval time.Duration // how long tokens accumulate before an append (journalBatchMillis)
	MinAge        time.Duration // age from which on a generation's tokens are sent (journalAfterMillis); negative: at once
	Copies        int           // peers per generation
	SendTimeout   time.Duration
	MaxBytes      int // limit on the tokens buffered for sending
	Recorder      *event.Recorder
	Registerer    prometheus.Registerer
}

func (o WriterOptions) withDefaults() WriterOptions {
	if o.BatchInterval == 0 {
		o.BatchInterval = DefaultBatchInterval
	}
	if o.MinAge == 0 {
		o.MinAge = DefaultMinAge
	}
	if o.Copies == 0 {
		o.Copies = DefaultCopies
	}
	if o.SendTimeout == 0 {
		o.SendTimeout = DefaultSendTimeout
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultWriterMaxBytes
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard()
	}
	return o
}

// Writer journals the generations that run beside this sidecar. Each handle buffers its
// own tokens and each peer has a cursor into that buffer, so there is no shared queue that
// could fill up: a slow peer falls behind but never delays tokens on their way to the
// caller.
type Writer struct {
	opts       WriterOptions
	metrics    *writerMetrics
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup // the links' goroutines
	batchNanos atomic.Int64   // set by SetBatchInterval; 0: the option's value

	mu        sync.Mutex // guards links, downUntil, heldBytes and the cancelling of ctx
	links     map[string]*link
	downUntil map[string]time.Time // per failed peer, when it may be used again
	heldBytes int
}

// NewWriter returns a writer. It must be ended with Close.
func NewWriter(opts WriterOptions) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		opts: opts.withDefaults(), metrics: newWriterMetrics(opts.Registerer),
		ctx: ctx, cancel: cancel,
		links: make(map[string]*link), downUntil: make(map[string]time.Time),
	}
}

// SetBatchInterval changes how long tokens accumulate before an append, also for the
// generations that already run, as the configuration's journalBatchMillis requires. Zero
// and negative values are ignored.
func (w *Writer) SetBatchInterval(d time.Duration) {
	if d > 0 {
		w.batchNanos.Store(int64(d))
	}
}

func (w *Writer) batchInterval() time.Duration {
	if d := w.batchNanos.Load(); d > 0 {
		return time.Duration(d)
	}
	return w.opts.BatchInterval
}

// Close stops all appends and waits for them to return.
func (w *Writer) Close() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.running.Wait()
}

// GenerationInfo describes an attempt that starts on this sidecar.
type GenerationInfo struct {
	ID      types.GenerationID
	Lineage types.Lineage // the last segment is this attempt
	Emitted []types.Token // tokens that the attempt continues from
	Peers   []string      // candidates in rendezvous order, more than Copies

	// MinAge and Copies are the recovery settings in force when the attempt started. 0
	// means the writer's options; negative Copies disables the journal for this attempt.
	MinAge time.Duration
	Copies int
}

func (g GenerationInfo) withDefaults(o WriterOptions) GenerationInfo {
	if g.MinAge == 0 {
		g.MinAge = o.MinAge
	}
	if g.Copies == 0 {
		g.Copies = o.Copies
	}
	return g
}

// Start registers the attempt with its journal peers, so that any router can find the
// runner, and returns the handle to which its tokens are appended.
func (w *Writer) Start(gen GenerationInfo) *Handle {
	gen = gen.withDefaults(w.opts)
	h := &Handle{writer: w, gen: gen, name: gen.ID.String(), started: time.Now(), excluded: make(map[string]bool)}
	for _, t := range gen.Emitted {
		h.log.add(t.ID, t.Text)
	}
	w.account(h.log.bytes())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.assignPeers()
	if gen.MinAge > 0 {
		h.minAgeTimer = time.AfterFunc(gen.MinAge, h.signal)
	}
	return h
}

// account adds n, which may be negative, to the buffered bytes and reports whether they are within the limit.
func (w *Writer) account(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heldBytes += n
	w.metrics.heldBytes.Set(float64(w.heldBytes))
	return w.heldBytes <= w.opts.MaxBytes
}

// attach adds a cursor to the link to addr, creating the link if necessary. It returns
// false if the writer is closed.
func (w *Writer) attach(addr string, c *cursor) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return false
	}
	l := w.links[addr]
	if l == nil {
		l = &link{writer: w, addr: addr, wake: make(chan struct{}, 1), cursors: make(map[*cursor]struct{})}
		w.links[addr] = l
		w.running.Add(1)
		go l.run()
	}
	c.link = l
	l.add(c)
	return true
}

// isAvailable reports whether addr may be assigned a generation.
func (w *Writer) isAvailable(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, failed := w.downUntil[addr]
	if failed && time.Now().Before(until) {
		return false
	}
	delete(w.downUntil, addr)
	return true
}

func (w *Writer) markDown(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downUntil[addr] = time.Now().Add(downDuration)
}
