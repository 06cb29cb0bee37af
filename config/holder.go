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

// NeverConfirmed is the freshness of a process that has no confirmed text.
const NeverConfirmed = time.Duration(1<<63 - 1)

// largeText is the size from which a process gives back the memory of the
// revision before at once. The collector would otherwise let the heap grow to
// twice what was in use while both were held, which at 48,000 organisations is
// more than a process may use.
const largeText = 1 << 20

// ErrSameRevision reports two different texts under one revision.
var ErrSameRevision = errors.New("config: two different texts under one revision")

// Snapshot is one revision of the text. It is immutable.
type Snapshot struct {
	Revision types.Revision
	Raw      []byte
	Text     *text.Text
}

// HolderOptions configure a Holder. All fields may be left out.
type HolderOptions struct {
	Recorder   *event.Recorder
	Registerer prometheus.Registerer
	Now        func() time.Time
}

// Holder holds the snapshot in force. Readers take no lock: they load a
// pointer to an immutable snapshot, which writers replace whole.
type Holder struct {
	opts    HolderOptions
	metrics *holderMetrics
	current atomic.Pointer[Snapshot]

	confirmed atomic.Int64 // when the newest revision was last confirmed, in Unix nanoseconds; 0: never

	offerMu sync.Mutex // one offer at a time: decoding a large text takes memory
	mu      sync.Mutex // guards replacing current, changed and deltas
	changed chan struct{}
	deltas  deltaChain

	packMu sync.Mutex // guards packed
	packed packed
}

// NewHolder returns a holder without a text.
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

// Changed returns a channel that is closed at the next change. A caller takes
// the channel first and reads Current after it, so that it misses no change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer brings an accepted revision into force if it is newer than the one in
// force, and reports whether it did. The caller must not change raw afterwards.
//
// Guard: a store that answers from an old copy, a peer that was frozen and
// wakes, or a late message all offer an older revision. Were it taken, an
// accepted configuration would revert, seen as the revision metric falling.
// Offers take turns, each compares with what the one before left, and only
// replace, which compares too, ever writes the snapshot.
func (h *Holder) Offer(rev types.Revision, raw []byte) (bool, error) {
	h.offerMu.Lock()
	defer h.offerMu.Unlock()
	if rev <= h.Revision() {
		return false, h.refuseOld(rev, raw)
	}
	loaded, err := text.Load(raw)
	if err != nil {
		h.metrics.offers.WithLabelValues("undecodable").Inc()
		h.opts.Recorder.Emit(EventUndecodable, "revision", rev, "error", err)
		return false, err
	}
	next := &Snapshot{Revision: rev, Raw: raw, Text: loaded}
	if !h.replace(next) {
		return false, h.refuseOld(rev, raw)
	}
	h.metrics.offers.WithLabelValues("taken").Inc()
	h.opts.Recorder.Emit(EventInForce, "revision", rev, "bytes", len(raw))
	if len(raw) >= largeText {
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
	if old == nil {
		h.confirmed.Store(h.opts.Now().UnixNano())
	}
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// refuseOld tells an old revision, which is ordinary, from a second text under
// the revision in force, which only a damaged store or a defect can produce.
func (h *Holder) refuseOld(rev types.Revision, raw []byte) error {
	current := h.current.Load()
	if rev == current.Revision && !bytes.Equal(raw, current.Raw) {
		h.metrics.offers.WithLabelValues("conflicting").Inc()
		h.opts.Recorder.Emit(EventConflicting, "revision", rev)
		return ErrSameRevision
	}
	h.metrics.offers.WithLabelValues("old").Inc()
	return nil
}

// Confirmed notes that the store or a peer had this revision at a moment not
// before asOf. It only counts if that is the revision in force here: one that
// is behind proves nothing. It is called on every answer from another process
// and takes no lock.
//
// Guard: asOf is when the question was asked, not when the answer is read. A
// process that was frozen reads, when it wakes, messages from before; by the
// time of reading they would confirm a text that was replaced meanwhile, seen
// as a request served by an old text long after the new one was accepted. For
// the same reason a text that comes by itself confirms nothing (see replace).
func (h *Holder) Confirmed(rev types.Revision, asOf time.Time) {
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
// revision in force is the newest; NeverConfirmed if there is no text.
func (h *Holder) Freshness() time.Duration {
	at := h.confirmed.Load()
	if at == 0 {
		return NeverConfirmed
	}
	return max(0, h.opts.Now().Sub(time.Unix(0, at)))
}
