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
	DefaultBatch          = 500 * time.Millisecond
	DefaultAfter          = 5 * time.Second
	DefaultCopies         = 2
	DefaultSendTimeout    = time.Second
	DefaultWriterMaxBytes = 32 << 20

	// maxAppendBytes bounds one append, so that a resend of a long answer
	// doesn't hold up the others on the same peer.
	maxAppendBytes = 256 << 10
	// maxFailures in a row make a peer count as down.
	maxFailures = 2
	// maxResends: a peer that loses a generation this often has no room for it.
	maxResends = 3
	// downFor is how long a peer that failed gets no generations.
	downFor = 10 * time.Second
	// repairEvery is how often a generation with too few peers looks for more.
	repairEvery = 3 * time.Second
	// never: an After as long as this means that no tokens are journalled at all,
	// also not those of a resume.
	never = 24 * time.Hour
)

// ErrClosed: the writer was closed before the append was answered.
var ErrClosed = errors.New("journal: writer closed")

// Sender carries one append to the sidecar at addr.
type Sender interface {
	Append(ctx context.Context, addr string, in *streampb.JournalAppend) (*streampb.JournalAppended, error)
}

// WriterOptions configures a Writer. Zero values take the defaults.
type WriterOptions struct {
	Self        string        // address of this sidecar, noted as the runner
	Sender      Sender        // required
	Batch       time.Duration // tokens gather this long before an append (journalBatchMillis)
	After       time.Duration // generations younger than this send no tokens (journalAfterMillis); negative: at once
	Copies      int           // peers per generation
	SendTimeout time.Duration
	MaxBytes    int // bound on the tokens kept here to be sent
	Recorder    *event.Recorder
	Registerer  prometheus.Registerer
}

func (o WriterOptions) withDefaults() WriterOptions {
	if o.Batch == 0 {
		o.Batch = DefaultBatch
	}
	if o.After == 0 {
		o.After = DefaultAfter
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

// Writer journals the generations that run beside this sidecar. Tokens wait in
// the handle's own log and each peer has a cursor into it, so there is no queue
// to fill: a slow peer falls behind and never slows the token path.
type Writer struct {
	opts    WriterOptions
	metrics *writerMetrics
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	gather  atomic.Int64 // batch wait in nanoseconds, see SetBatch

	mu    sync.Mutex // guards links, down, held and closing
	links map[string]*link
	down  map[string]time.Time // when a failed peer may be tried again
	held  int
}

// NewWriter returns a writer; Close ends it.
func NewWriter(opts WriterOptions) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Writer{
		opts: opts.withDefaults(), metrics: newWriterMetrics(opts.Registerer),
		ctx: ctx, cancel: cancel,
		links: make(map[string]*link), down: make(map[string]time.Time),
	}
}

// SetBatch changes how long tokens gather before an append: a new revision of
// the text may have another recovery dial.
func (w *Writer) SetBatch(d time.Duration) {
	if d > 0 {
		w.gather.Store(int64(d))
	}
}

func (w *Writer) batch() time.Duration {
	if d := w.gather.Load(); d > 0 {
		return time.Duration(d)
	}
	return w.opts.Batch
}

// Close stops all appends and waits for them to return.
func (w *Writer) Close() {
	w.mu.Lock()
	w.cancel()
	w.mu.Unlock()
	w.done.Wait()
}

// GenerationInfo describes an attempt that starts on this sidecar.
type GenerationInfo struct {
	ID      types.GenerationID
	Lineage types.Lineage // its last segment is this attempt
	Emitted []types.Token // what the attempt continues from
	Peers   []string      // candidates in rendezvous order, more of them than copies

	// After and Copies are the recovery dial in force when the attempt started;
	// 0: as the writer's options say. Copies below 0 keeps no journal.
	After  time.Duration
	Copies int
}

func (g GenerationInfo) withDefaults(o WriterOptions) GenerationInfo {
	if g.After == 0 {
		g.After = o.After
	}
	if g.Copies == 0 {
		g.Copies = o.Copies
	}
	return g
}

// Start registers the attempt with its journal peers, so that any router finds
// the runner, and returns the handle that its tokens are appended to.
func (w *Writer) Start(gen GenerationInfo) *Handle {
	gen = gen.withDefaults(w.opts)
	h := &Handle{writer: w, gen: gen, name: gen.ID.String(), started: time.Now(), avoid: make(map[string]bool)}
	for _, t := range gen.Emitted {
		h.log.add(t.ID, t.Text)
	}
	w.account(h.log.bytes())
	h.mu.Lock()
	defer h.mu.Unlock()
	h.repair()
	if gen.After > 0 {
		h.due = time.AfterFunc(gen.After, h.signal)
	}
	return h
}

// account adds to the bytes kept and reports whether they are within bounds.
func (w *Writer) account(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held += n
	w.metrics.held.Set(float64(w.held))
	return w.held <= w.opts.MaxBytes
}

// attach puts a cursor of a generation on the link to addr; false if the writer
// is closed.
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
		w.done.Add(1)
		go l.run()
	}
	c.link = l
	l.add(c)
	return true
}

// usable reports whether addr may be given a generation.
func (w *Writer) usable(addr string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	until, failed := w.down[addr]
	if failed && time.Now().Before(until) {
		return false
	}
	delete(w.down, addr)
	return true
}

func (w *Writer) markDown(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[addr] = time.Now().Add(downFor)
}
