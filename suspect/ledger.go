package suspect

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/types"
)

// Defaults of Options.
const (
	DefaultLimit      = 2
	DefaultQuarantine = 10 * time.Minute
	DefaultWindow     = time.Hour
	DefaultMax        = 4096
)

// view is what the path of a request reads of one fingerprint.
type view struct {
	open  []time.Time
	until time.Time
}

// Ledger holds suspicions. Verdict reads an immutable snapshot; writers, which
// run only when an engine dies or a suspect completes, share a lock.
type Ledger struct {
	opts    Options
	rule    rule
	metrics *metrics
	life    uint64
	running running
	home    home
	views   atomic.Pointer[map[types.Fingerprint]view]
	news    chan struct{}
	// giveBack is set by a Spreader to return a granted run that ended.
	giveBack atomic.Pointer[func(types.Fingerprint)]

	mu      sync.Mutex // guards the fields below
	records map[types.Fingerprint]*record
	seq     uint64
	dirty   map[types.Fingerprint]struct{} // to be written to the table
	gone    map[types.Fingerprint]struct{} // rows to be deleted
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	opts = opts.withDefaults()
	l := &Ledger{
		opts:    opts,
		rule:    rule{limit: opts.Limit, quarantine: opts.Quarantine, window: opts.Window},
		life:    rand.Uint64(),
		news:    make(chan struct{}, 1),
		records: map[types.Fingerprint]*record{},
		dirty:   map[types.Fingerprint]struct{}{},
		gone:    map[types.Fingerprint]struct{}{},
	}
	l.views.Store(&map[types.Fingerprint]view{})
	l.home.holders = map[types.Fingerprint]*grant{}
	l.running.init()
	l.metrics = newMetrics(opts.Registerer, l)
	return l
}

// Verdict says what the ledger thinks of a fingerprint. It takes no lock.
func (l *Ledger) Verdict(fp types.Fingerprint) Verdict {
	views := *l.views.Load()
	if len(views) == 0 {
		return Verdict{State: Clear}
	}
	seen, ok := views[fp]
	if !ok {
		return Verdict{State: Clear}
	}
	return seen.verdict(l.opts.Now(), l.opts.Window)
}

func (v view) verdict(now time.Time, window time.Duration) Verdict {
	open := 0
	for _, at := range v.open {
		if now.Sub(at) <= window {
			open++
		}
	}
	switch {
	case v.until.After(now):
		return Verdict{State: Quarantined, Deaths: open, Until: v.until}
	case open > 0:
		return Verdict{State: Suspect, Deaths: open}
	default:
		return Verdict{State: Clear}
	}
}

// Death tells that an engine died while these fingerprints ran on it. The id
// must be the same wherever the same death is told, such as the backend
// server's address with the engine's incarnation.
func (l *Ledger) Death(death string, fps []types.Fingerprint) {
	if len(fps) == 0 {
		return
	}
	at := l.opts.Now().Round(0)
	entries := make([]Entry, len(fps))
	for i, fp := range fps {
		entries[i] = Entry{Fingerprint: fp, Deaths: []Death{{ID: death, At: at}}}
	}
	l.metrics.deaths.Inc()
	l.opts.Recorder.Emit(eventDeath, "death", death, "requests", len(fps))
	l.learn(entries, true)
}

// Completed tells that a request completed whole. The deaths known here by now
// stop counting; one that is told later, or that only others know, still
// counts. A quarantine stands: it is lifted by time alone.
func (l *Ledger) Completed(fp types.Fingerprint) {
	if l.Verdict(fp).State != Suspect {
		return
	}
	l.mu.Lock()
	r := l.records[fp]
	if r == nil || r.until.After(l.opts.Now()) {
		l.mu.Unlock()
		return
	}
	cleared := r.entry(fp)
	l.mu.Unlock()
	for i := range cleared.Deaths {
		cleared.Deaths[i].Cleared = true
	}
	if l.learn([]Entry{cleared}, true) {
		l.metrics.cleared.Inc()
		l.opts.Recorder.Emit(eventCleared, "fingerprint", fp.String(), "deaths", len(cleared.Deaths))
	}
}

// Merge takes in what another ledger knows and reports whether any was new.
func (l *Ledger) Merge(entries []Entry) bool { return l.learn(entries, false) }

// Deltas returns what was learned after since, and the number to ask from next.
func (l *Ledger) Deltas(since uint64) ([]Entry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for fp, r := range l.records {
		if r.seq > since {
			out = append(out, r.entry(fp))
		}
	}
	return out, l.seq
}

// learn joins entries, publishes the new snapshot and calls back outside the lock.
func (l *Ledger) learn(entries []Entry, own bool) bool {
	now := l.opts.Now()
	l.mu.Lock()
	var quarantined []types.Fingerprint
	learned := nothing
	for _, e := range entries {
		changed, raised := l.joinLocked(e, own, now)
		learned = max(learned, changed)
		if raised {
			quarantined = append(quarantined, e.Fingerprint)
		}
	}
	if learned > nothing {
		l.evictLocked()
		l.publishLocked()
	}
	l.mu.Unlock()
	if learned == urgent {
		l.wake()
	}
	for _, fp := range quarantined {
		l.tellQuarantine(fp)
	}
	return learned > nothing
}

func (l *Ledger) joinLocked(e Entry, own bool, now time.Time) (changed news, raised bool) {
	oldest := now.Add(-l.opts.Window)
	r := l.records[e.Fingerprint]
	if r == nil {
		r = &record{deaths: map[string]Death{}}
	}
	before := r.until
	changed = r.join(e, oldest)
	if r.raise(l.rule) {
		changed = urgent
	}
	if changed == nothing || r.prune(oldest, now) {
		return nothing, false
	}
	l.seq++
	r.seq = l.seq
	r.changed = now
	r.own = r.own || own
	l.records[e.Fingerprint] = r
	l.dirty[e.Fingerprint] = struct{}{}
	return changed, r.until.After(now) && r.until.After(before)
}

func (l *Ledger) tellQuarantine(fp types.Fingerprint) {
	verdict := l.Verdict(fp)
	if verdict.State != Quarantined {
		return
	}
	l.metrics.quarantined.Inc()
	l.opts.Recorder.Emit(eventQuarantined, "fingerprint", fp.String(), "deaths", verdict.Deaths, "until", verdict.Until.UTC())
	if l.opts.OnQuarantine != nil {
		l.opts.OnQuarantine(fp, verdict)
	}
}

func (l *Ledger) wake() {
	select {
	case l.news <- struct{}{}:
	default:
	}
}

// publishLocked replaces the snapshot that Verdict reads.
func (l *Ledger) publishLocked() {
	views := make(map[types.Fingerprint]view, len(l.records))
	for fp, r := range l.records {
		v := view{until: r.until}
		for _, d := range r.deaths {
			if !d.Cleared {
				v.open = append(v.open, d.At)
			}
		}
		views[fp] = v
	}
	l.views.Store(&views)
}
