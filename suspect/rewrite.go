package suspect

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// rewriteSpread spreads the rewriting of the own rows of many processes after the table
	// service has come back from a copy.
	rewriteSpread = 2 * time.Second
	// adoptDelay is when rows are looked for that nobody has written again by then: their
	// owners have ended.
	adoptDelay = 8 * time.Second
)

// TableReturned tells that the table service has come back from a copy, which may lack rows
// that it had accepted.
func (l *Ledger) TableReturned() { notify(l.returned) }

// rewriteOwn schedules all rows that this process writes.
func (l *Ledger) rewriteOwn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for fp, r := range l.records {
		if l.persistsLocked(r) {
			l.dirty[fp] = struct{}{}
		}
	}
}

func (l *Ledger) adopts() bool { return l.opts.Table != nil && l.opts.Adopts != nil && l.opts.Adopts() }

// adoptMissing makes this process the writer of the quarantines that the table service lacks.
// It reports whether the rows could be read.
func (l *Ledger) adoptMissing(ctx context.Context, state *tableState) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := l.opts.Table.List(ctx, tablePrefix, l.opts.Max)
	if !l.reportTable(state, err) {
		return false
	}
	stored := make(map[string]bool, len(rows))
	for _, row := range rows {
		stored[row.Key] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	adopted := 0
	for fp, r := range l.records {
		if r.until.After(l.opts.Now()) && !stored[tablePrefix+fp.String()] {
			r.local = true
			l.dirty[fp] = struct{}{}
			adopted++
		}
	}
	if adopted > 0 {
		l.opts.Recorder.Emit(eventAdopted, "rows", adopted)
	}
	return true
}

// rewriting holds when rows are written again after a return of the table service. A nil
// channel means that nothing is due.
type rewriting struct {
	own     <-chan time.Time // the rows of this process
	missing <-chan time.Time // those that nobody else has written again
}

func newRewriting() rewriting {
	return rewriting{own: time.After(rand.N(rewriteSpread)), missing: time.After(adoptDelay)}
}
