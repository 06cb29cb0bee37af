package suspect

import (
	"math"
	"time"

	"github.com/pearyard/pearyard/types"
)

// expire removes records whose deaths are outside the window and whose quarantine
// has ended.
func (l *Ledger) expire() {
	now := l.opts.Now()
	oldest := now.Add(-l.opts.Window)
	l.completions.expire(now.Add(-accusationWindow))
	l.mu.Lock()
	defer l.mu.Unlock()
	removed := false
	for fp, r := range l.records {
		if !r.prune(oldest, now) {
			continue
		}
		l.removeLocked(fp, r)
		removed = true
	}
	if removed {
		l.publishLocked()
	}
}

// removeLocked removes a record, and schedules the deletion of its row if this
// process is responsible for it.
func (l *Ledger) removeLocked(fp types.Fingerprint, r *record) {
	delete(l.records, fp)
	delete(l.dirty, fp)
	if r.local && (!l.opts.QuarantinesOnly || !r.until.IsZero()) {
		l.toDelete[fp] = struct{}{}
	}
}

// evictLocked removes records until at most Max are left: cleared ones first, then
// suspects, then quarantined ones, and among equals the one that changed least
// recently. An evicted fingerprint may crash up to Limit further engines.
func (l *Ledger) evictLocked() {
	for len(l.records) > l.opts.Max {
		fp := l.evictionCandidateLocked()
		delete(l.records, fp)
		delete(l.dirty, fp)
		l.metrics.evicted.Inc()
		l.opts.Recorder.Emit(eventFull, "fingerprint", fp.String(), "max", l.opts.Max)
	}
}

// evictionCandidateLocked returns the fingerprint whose record is evicted first.
func (l *Ledger) evictionCandidateLocked() types.Fingerprint {
	now := l.opts.Now()
	var candidate types.Fingerprint
	lowestRank, lowestSeq := math.MaxInt, uint64(math.MaxUint64)
	for fp, r := range l.records {
		rank := r.evictionRank(now)
		if rank < lowestRank || rank == lowestRank && r.seq < lowestSeq {
			candidate, lowestRank, lowestSeq = fp, rank, r.seq
		}
	}
	return candidate
}

// evictionRank ranks records for eviction; those with the lowest rank go first.
func (r *record) evictionRank(now time.Time) int {
	if r.until.After(now) {
		return 2
	}
	if open, _ := r.openDeaths(); open > 0 {
		return 1
	}
	return 0
}
