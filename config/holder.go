package config

import (
	"bytes"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// NeverConfirmed is the freshness of a process without a confirmed configuration.
const NeverConfirmed = time.Duration(1<<63 - 1)

// largeConfigBytes is the configuration size from which the memory of the previous
// revision is returned to the system at once. Otherwise the garbage collector
// would let the heap grow to twice what was in use while both revisions were
// held, which at 48,000 organisations exceeds a process's memory limit.
const largeConfigBytes = 1 << 20

// ErrSameRevision reports two different configurations with the same revision.
var ErrSameRevision = errors.New("config: two different configurations with the same revision")

// Snapshot is one revision of the configuration. It is immutable.
type Snapshot struct {
	Revision types.Revision
	Raw      []byte
	Config   *text.Config
}

// HolderOptions configure a Holder. All fields are optional.
type HolderOptions struct {
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
	Now        func() time.Time
}

// Holder holds the snapshot in force. Readers take no lock: they load a
// pointer to an immutable snapshot, which writers replace as a whole.
type Holder struct {
	opts    HolderOptions
	metrics *holderMetrics
	current atomic.Pointer[Snapshot]

	confirmed atomic.Int64 // when the newest revision was last confirmed, in Unix nanoseconds; 0: never

	offerMu sync.Mutex    // serializes offers: decoding a large configuration takes much memory
	mu      sync.Mutex    // guards replacing current, changed and deltas
	changed chan struct{} // closed and replaced at each change
	deltas  deltaChain

	compressedMu    sync.Mutex // guards compressedCache
	compressedCache compressedConfig
}

// NewHolder returns a holder without a configuration.
func NewHolder(opts HolderOptions) *Holder {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	h := &Holder{opts: opts, changed: make(chan struct{})}
	h.metrics = newHolderMetrics(opts.Registerer, h)
	return h
}

// Current returns the snapshot in force, nil if there is none yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Revision returns the revision in force, 0 if there is none yet.
func (h *Holder) Revision() types.Revision {
	if s := h.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Changed returns a channel that is closed at the next change. To miss no
// change, a caller gets the channel before it reads Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer brings an accepted revision into force if it is newer than the one in
// force, and reports whether it did. The caller must not change raw afterwards.
//
// An older revision can be offered by a store that reads from an old copy, by a
// peer that resumes after a freeze, or by a late message. Taking it would revert
// an accepted configuration, visible as a falling revision metric. Offers are
// therefore serialized and compared with the revision in force, and only replace,
// which compares again, writes the snapshot.
func (h *Holder) Offer(rev types.Revision, raw []byte) (bool, error) {
	h.offerMu.Lock()
	defer h.offerMu.Unlock()
	if rev <= h.Revision() {
		return false, h.rejectStale(rev, raw)
	}
	loaded, err := text.Load(raw)
	if err != nil {
		h.metrics.offers.WithLabelValues("undecodable").Inc()
		h.opts.Recorder.Emit(EventUndecodable, "revision", rev, "error", err)
		return false, err
	}
	next := &Snapshot{Revision: rev, Raw: raw, Config: loaded}
	if !h.replace(next) {
		return false, h.rejectStale(rev, raw)
	}
	h.metrics.offers.WithLabelValues("taken").Inc()
	h.opts.Recorder.Emit(EventInForce, "revision", rev, "bytes", len(raw))
	if len(raw) >= largeConfigBytes {
		debug.FreeOSMemory()
	}
	return true, nil
}

func (h *Holder) replace(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if old != nil && next.Revision <= old.Revision {
		return false
	}
	h.deltas.add(old, next)
	h.current.Store(next)
	if old == nil { // only the first configuration counts as confirmed when it arrives
		h.confirmed.Store(h.opts.Now().UnixNano())
	}
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// rejectStale counts an offer that isn't newer than the revision in force. It
// returns ErrSameRevision for other content with the revision in force, which
// only a damaged store or a defect can produce; older revisions are normal.
func (h *Holder) rejectStale(rev types.Revision, raw []byte) error {
	current := h.current.Load()
	if rev == current.Revision && !bytes.Equal(raw, current.Raw) {
		h.metrics.offers.WithLabelValues("conflicting").Inc()
		h.opts.Recorder.Emit(EventConflicting, "revision", rev)
		return ErrSameRevision
	}
	h.metrics.offers.WithLabelValues("old").Inc()
	return nil
}

// RecordConfirmation records that the store or a peer had this revision at asOf or
// later. It counts only if rev is the revision in force here: a process that is
// behind proves nothing. It is called on every response from another process and
// takes no lock.
//
// asOf is the time at which the request was sent, not when the response was read.
// A process that resumes after a freeze reads messages that were sent before it;
// dated by the time of reading, they would confirm a configuration that was
// replaced meanwhile, and requests would be served with the old configuration
// long after the new one was accepted. For the same reason an offer, which may be an
// unsolicited push, confirms nothing, except the first one (see replace).
func (h *Holder) RecordConfirmation(rev types.Revision, asOf time.Time) {
	current := h.current.Load()
	if asOf.IsZero() || current == nil || rev != current.Revision {
		return
	}
	at := asOf.UnixNano()
	for {
		old := h.confirmed.Load()
		if at <= old || h.confirmed.CompareAndSwap(old, at) {
			return
		}
	}
}

// Freshness returns the time since the store or a peer last confirmed that the
// revision in force is the newest; NeverConfirmed if there is no configuration.
func (h *Holder) Freshness() time.Duration {
	at := h.confirmed.Load()
	if at == 0 {
		return NeverConfirmed
	}
	return max(0, h.opts.Now().Sub(time.Unix(0, at)))
}
