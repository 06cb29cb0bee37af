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
	DefaultLimit      = 2 // deaths
	DefaultQuarantine = 10 * time.Minute
	DefaultWindow     = time.Hour
	DefaultMax        = 4096 // fingerprints
)

// view is the immutable part of a record that Verdict reads.
type view struct {
	open    []time.Time // times of the open deaths
	excused bool        // there are excused deaths that aren't cleared
	accused time.Time   // until when its deaths accuse it, excused ones included; see Accused
	until   time.Time   // end of the quarantine
}

// Ledger holds suspicions. Verdict reads an immutable snapshot without locking.
// Writers share a lock; they run only when an engine dies, a suspect completes or
// entries are merged.
type Ledger struct {
	opts        Options
	policy      quarantinePolicy
	metrics     *metrics
	instance    uint64 // random; tells peers when a restart has reset the sequence numbers
	running     runTracker
	completions completions
	coordinator coordinator
	views       atomic.Pointer[map[types.Fingerprint]view]
	changed     chan struct{} // receives a value when there is something to push or renew
	quarantined chan struct{} // receives a value when a quarantine is to be written to the table service
	returned    chan struct{} // receives a value when the table service has come back from a copy
	// releaseGrant is set by a Gossiper. It is called when the last run of a
	// fingerprint in this process ends.
	releaseGrant atomic.Pointer[func(types.Fingerprint)]

	mu       sync.Mutex // guards the fields below
	records  map[types.Fingerprint]*record
	seq      uint64                         // number of changes so far
	dirty    map[types.Fingerprint]struct{} // rows to write to the table service
	toDelete map[types.Fingerprint]struct{} // rows to delete from it
}

// New returns an empty ledger.
func New(opts Options) *Ledger {
	opts = opts.withDefaults()
	l := &Ledger{
		opts:        opts,
		policy:      quarantinePolicy{limit: opts.Limit, quarantine: opts.Quarantine, window: opts.Window},
		instance:    rand.Uint64(),
		changed:     make(chan struct{}, 1),
		quarantined: make(chan struct{}, 1),
		returned:    make(chan struct{}, 1),
		records:     map[types.Fingerprint]*record{},
		dirty:       map[types.Fingerprint]struct{}{},
		toDelete:    map[types.Fingerprint]struct{}{},
	}
	l.views.Store(&map[types.Fingerprint]view{})
	l.coordinator.grants = map[types.Fingerprint]*grant{}
	l.running.init()
	l.metrics = newMetrics(opts.Registerer, l)
	return l
}

// Verdict returns the ledger's verdict on a fingerprint. It takes no lock.
func (l *Ledger) Verdict(fp types.Fingerprint) Verdict {
	views := *l.views.Load()
	if len(views) == 0 {
		return Verdict{State: Clear}
	}
	v, ok := views[fp]
	if !ok {
		return Verdict{State: Clear}
	}
	return v.verdict(l.opts.Now(), l.opts.Window)
}

// verdict returns the verdict at a time. Deaths that are older than window don't
// count.
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

// RecordDeath records that an engine died while these fingerprints ran on it. All
// processes must use the same id for the same death, such as the backend server's
// address and the engine's incarnation.
func (l *Ledger) RecordDeath(death string, fps []types.Fingerprint) {
	if len(fps) > 0 {
		l.recordDeaths([]string{death}, fps)
	}
}

// recordDeaths records one death, which counts as many times as it has ids.
func (l *Ledger) recordDeaths(ids []string, fps []types.Fingerprint) {
	at := l.opts.Now().Round(0)
	entries := make([]Entry, len(fps))
	for i, fp := range fps {
		entries[i].Fingerprint = fp
		for _, id := range ids {
			entries[i].Deaths = append(entries[i].Deaths, Death{ID: id, At: at})
		}
	}
	l.metrics.deaths.Inc()
	l.opts.Recorder.Emit(eventDeath, "death", ids[0], "requests", len(fps))
	l.apply(entries, true)
}

// RecordCompletion records that a request ran to completion and clears the deaths
// that this ledger knows of. Deaths that are recorded later, or that only other
// ledgers know of, still count. An existing quarantine isn't lifted before its
// end.
func (l *Ledger) RecordCompletion(fp types.Fingerprint) {
	l.completions.record(fp, l.opts.Now())
	if !l.isNoted(fp) {
		return
	}
	l.mu.Lock()
	r := l.records[fp]
	if r == nil || r.until.After(l.opts.Now()) {
		l.mu.Unlock()
		return
	}
	cleared := r.toEntry(fp)
	l.mu.Unlock()
	for i := range cleared.Deaths {
		cleared.Deaths[i].Cleared = true
	}
	if l.apply([]Entry{cleared}, true) {
		l.metrics.cleared.Inc()
		l.opts.Recorder.Emit(eventCleared, "fingerprint", fp.String(), "deaths", len(cleared.Deaths))
	}
}

// RecordProgress records that a request has survived on an engine for as long as requests
// that crash engines do not. It clears the excused deaths that this ledger knows of.
func (l *Ledger) RecordProgress(fp types.Fingerprint) {
	l.completions.record(fp, l.opts.Now())
	if v, ok := (*l.views.Load())[fp]; !ok || !v.excused {
		return
	}
	l.mu.Lock()
	var cleared Entry
	if r := l.records[fp]; r != nil {
		cleared = r.toEntry(fp)
	}
	l.mu.Unlock()
	for i, d := range cleared.Deaths {
		cleared.Deaths[i].Cleared = d.Cleared || d.Excuse != NoExcuse
	}
	l.apply([]Entry{cleared}, true)
}

// isNoted reports whether a fingerprint that is not quarantined has deaths that aren't
// cleared. It takes no lock.
func (l *Ledger) isNoted(fp types.Fingerprint) bool {
	v, ok := (*l.views.Load())[fp]
	return ok && (v.excused || len(v.open) > 0) && !v.until.After(l.opts.Now())
}

// Merge merges entries of another ledger and reports whether any was new.
func (l *Ledger) Merge(entries []Entry) bool { return l.apply(entries, false) }

// Deltas returns the entries that changed after sequence number since, and the
// sequence number to pass to the next call.
func (l *Ledger) Deltas(since uint64) ([]Entry, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for fp, r := range l.records {
		if r.seq > since {
			out = append(out, r.toEntry(fp))
		}
	}
	return out, l.seq
}

// apply merges entries and publishes a new snapshot. It reports new quarantines
// after releasing the lock. local is set if the entries were recorded by this process. It
// returns whether anything changed.
func (l *Ledger) apply(entries []Entry, local bool) bool {
	now := l.opts.Now()
	l.mu.Lock()
	var quarantined []types.Fingerprint
	changed := noChange
	for _, e := range entries {
		entryChanged, extended := l.applyLocked(e, local, now)
		changed = max(changed, entryChanged)
		if extended {
			quarantined = append(quarantined, e.Fingerprint)
		}
	}
	if changed > noChange {
		l.evictLocked()
		l.publishLocked()
	}
	l.mu.Unlock()
	if changed == urgentChange {
		l.notifyChanged()
	}
	for _, fp := range quarantined {
		l.reportQuarantine(fp)
	}
	return changed > noChange
}

// applyLocked merges one entry. It returns the kind of change and whether a
// quarantine began or was extended.
func (l *Ledger) applyLocked(e Entry, local bool, now time.Time) (changed change, extended bool) {
	oldest := now.Add(-l.opts.Window)
	r := l.records[e.Fingerprint]
	if r == nil {
		r = &record{deaths: map[string]Death{}}
	}
	before := r.until
	changed = r.merge(e, oldest, now, l.policy)
	if r.extendQuarantine(l.policy) {
		changed = urgentChange
	}
	if changed == noChange || r.prune(oldest, now) {
		return noChange, false
	}
	l.seq++
	r.seq = l.seq
	r.changed = now
	r.local = r.local || local
	l.records[e.Fingerprint] = r
	l.dirty[e.Fingerprint] = struct{}{}
	return changed, r.until.After(now) && r.until.After(before)
}

// reportQuarantine reports a new or extended quarantine through metrics, events and
// OnQuarantine.
func (l *Ledger) reportQuarantine(fp types.Fingerprint) {
	verdict := l.Verdict(fp)
	if verdict.State != Quarantined {
		return
	}
	l.metrics.quarantined.Inc()
	l.opts.Recorder.Emit(eventQuarantined, "fingerprint", fp.String(), "deaths", verdict.Deaths, "until", verdict.Until.UTC())
	notify(l.quarantined)
	if l.opts.OnQuarantine != nil {
		l.opts.OnQuarantine(fp, verdict)
	}
}

// notifyChanged makes the Gossiper push changes and renew grants soon.
func (l *Ledger) notifyChanged() { notify(l.changed) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publishLocked replaces the snapshot that Verdict reads.
func (l *Ledger) publishLocked() {
	views := make(map[types.Fingerprint]view, len(l.records))
	for fp, r := range l.records {
		v := view{until: r.until}
		for _, d := range r.deaths {
			if d.isOpen() {
				v.open = append(v.open, d.At)
			}
			v.excused = v.excused || (d.Excuse != NoExcuse && !d.Cleared)
		}
		v.accused = r.accusedUntil(l.policy.limit, l.opts.Window)
		views[fp] = v
	}
	l.views.Store(&views)
}
