package suspect

import (
	"math"
	"time"

	"github.com/pearyard/pearyard/types"
)

// expire forgets what is past its window and its quarantine.
func (l *Ledger) expire() {
	now := l.opts.Now()
	oldest := now.Add(-l.opts.Window)
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := false
	for fp, r := range l.records {
		if !r.prune(oldest, now) {
			continue
		}
		l.dropLocked(fp, r)
		dropped = true
	}
	if dropped {
		l.publishLocked()
	}
}

func (l *Ledger) dropLocked(fp types.Fingerprint, r *record) {
	delete(l.records, fp)
	delete(l.dirty, fp)
	if r.own {
		l.gone[fp] = struct{}{}
	}
}

// evictLocked holds the bound: cleared entries go first, then suspects, then
// quarantined ones, in each the one that changed longest ago. What is lost is
// the count of that fingerprint: it may cost up to Limit further engines.
func (l *Ledger) evictLocked() {
	for len(l.records) > l.opts.Max {
		fp := l.lightestLocked()
		delete(l.records, fp)
		delete(l.dirty, fp)
		l.metrics.evicted.Inc()
		l.opts.Recorder.Emit(eventFull, "fingerprint", fp.String(), "max", l.opts.Max)
	}
}

func (l *Ledger) lightestLocked() types.Fingerprint {
	now := l.opts.Now()
	var lightest types.Fingerprint
	bestWeight, bestSeq := math.MaxInt, uint64(math.MaxUint64)
	for fp, r := range l.records {
		weight := r.weight(now)
		if weight < bestWeight || weight == bestWeight && r.seq < bestSeq {
			lightest, bestWeight, bestSeq = fp, weight, r.seq
		}
	}
	return lightest
}

func (r *record) weight(now time.Time) int {
	if r.until.After(now) {
		return 2
	}
	if open, _ := r.open(); open > 0 {
		return 1
	}
	return 0
}
