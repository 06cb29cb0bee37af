package suspect

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

const (
	// tablePrefix is the prefix of the ledger's rows in the table service. The rest of
	// the key is the fingerprint.
	tablePrefix = "suspect/"
	// flushInterval and maxFlushRows bound the load on the table service: at most
	// maxFlushRows reads and one write per interval from each process.
	flushInterval = time.Second
	maxFlushRows  = 16
	// tableTimeout bounds a load from, or a flush to, the table service.
	tableTimeout = 2 * time.Second
	// maxLoggedRows is how many invalid rows a log line names.
	maxLoggedRows = 8
	// expireInterval is how often expired records are removed.
	expireInterval = 10 * time.Second
)

// Run loads the stored entries from the table service, then writes changes to it,
// writes them again after it has come back from a copy, and removes expired records until
// ctx ends. Verdicts and gossip continue while
// the table service is unavailable.
func (l *Ledger) Run(ctx context.Context) error {
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	table := tableState{}
	loaded := l.opts.Table == nil || l.load(ctx, &table)
	var due rewriting
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			l.expire()
		case <-l.returned:
			due = newRewriting()
		case <-due.own:
			due.own = nil
			l.rewriteOwn()
		case <-due.missing:
			due.missing = nil
			if l.adopts() && !l.adoptMissing(ctx, &table) {
				due.missing = time.After(tableTimeout)
			}
		case <-l.quarantined:
			if loaded && l.opts.Table != nil {
				l.flush(ctx, &table)
			}
		case <-flush.C:
			if !loaded {
				loaded = l.load(ctx, &table)
				continue
			}
			if l.opts.Table != nil {
				l.flush(ctx, &table)
			}
		}
	}
}

// tableState records whether the table service was unavailable at the last access.
type tableState struct{ down bool }

// reportTable emits an event when the table service becomes unavailable or
// available again. It returns whether err is nil.
func (l *Ledger) reportTable(state *tableState, err error) bool {
	if err != nil {
		if !state.down {
			l.opts.Recorder.Emit(eventTable, "error", err)
		}
		state.down = true
		return false
	}
	if state.down {
		l.opts.Recorder.Emit(eventTableBack)
	}
	state.down = false
	return true
}

// load merges the entries stored in the table service. Rows of expired entries are
// scheduled for deletion, and rows that can't be decoded are skipped. It reports
// whether the rows could be read.
func (l *Ledger) load(ctx context.Context, state *tableState) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := l.opts.Table.List(ctx, tablePrefix, l.opts.Max)
	if !l.reportTable(state, err) {
		return false
	}
	entries := make([]Entry, 0, len(rows))
	var invalid []string
	for _, row := range rows {
		e, err := decodeRow(row.Value)
		if err != nil {
			invalid = append(invalid, fmt.Sprintf("%.60q", row.Key))
			continue
		}
		entries = append(entries, e)
	}
	if len(invalid) > 0 {
		l.opts.Recorder.Emit(eventRowsInvalid, "rows", strings.Join(invalid[:min(len(invalid), maxLoggedRows)], ","), "count", len(invalid))
	}
	l.Merge(entries)
	l.mu.Lock()
	for _, e := range entries {
		if l.records[e.Fingerprint] == nil {
			l.toDelete[e.Fingerprint] = struct{}{} // expired, but its writer no longer exists to delete it
		}
	}
	l.mu.Unlock()
	return true
}

// flush writes a bounded number of changed rows, each merged with the stored row.
func (l *Ledger) flush(ctx context.Context, state *tableState) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	txn, b, err := l.buildTxn(ctx, l.takeBatch())
	if err == nil && len(txn.Writes) > 0 {
		err = l.opts.Table.Commit(ctx, txn)
	}
	var conflict *backing.ConflictError
	if errors.As(err, &conflict) {
		l.returnBatch(b) // another process wrote a row: merge again in the next flush
		return
	}
	if !l.reportTable(state, err) {
		l.returnBatch(b) // the write may have happened; merging is idempotent, so repeat it
	}
}

// batch is a set of rows to write or delete.
type batch struct {
	dirty, toDelete []types.Fingerprint
}

// takeBatch removes a batch of at most maxFlushRows rows from the pending rows.
func (l *Ledger) takeBatch() batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b batch
	for fp := range l.dirty {
		if len(b.dirty) == maxFlushRows {
			break
		}
		if l.persistsLocked(l.records[fp]) {
			b.dirty = append(b.dirty, fp)
		}
		delete(l.dirty, fp) // records of other processes are written by them
	}
	for fp := range l.toDelete {
		if len(b.dirty)+len(b.toDelete) == maxFlushRows {
			break
		}
		b.toDelete = append(b.toDelete, fp)
		delete(l.toDelete, fp)
	}
	return b
}

// persistsLocked reports whether this process writes a record to the table service.
func (l *Ledger) persistsLocked(r *record) bool {
	return r.local && (!l.opts.QuarantinesOnly || r.until.After(l.opts.Now()))
}

// returnBatch makes the rows of a batch pending again.
func (l *Ledger) returnBatch(b batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range b.dirty {
		if l.records[fp] != nil {
			l.dirty[fp] = struct{}{}
		}
	}
	for _, fp := range b.toDelete {
		if l.records[fp] == nil {
			l.toDelete[fp] = struct{}{}
		}
	}
}

// buildTxn builds the transaction for a batch. It merges the stored rows into the
// ledger first, and makes each write conditional on the version that it read. A
// stored row that can't be decoded is overwritten.
func (l *Ledger) buildTxn(ctx context.Context, b batch) (backing.Txn, batch, error) {
	var txn backing.Txn
	for _, fp := range b.dirty {
		row, err := l.opts.Table.Get(ctx, tablePrefix+fp.String())
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			return txn, b, err
		}
		if stored, err := decodeRow(row.Value); err == nil {
			l.Merge([]Entry{stored})
		}
		value, ok := l.encodeRow(fp)
		if !ok || bytes.Equal(value, row.Value) {
			continue
		}
		addWrite(&txn, fp, row.Version, backing.Write{Value: value})
	}
	for _, fp := range b.toDelete {
		row, err := l.opts.Table.Get(ctx, tablePrefix+fp.String())
		if errors.Is(err, backing.ErrNotFound) {
			continue
		}
		if err != nil {
			return txn, b, err
		}
		addWrite(&txn, fp, row.Version, backing.Write{Delete: true})
	}
	return txn, b, nil
}

// addWrite adds a write to txn, conditional on the row's version.
func addWrite(txn *backing.Txn, fp types.Fingerprint, version uint64, w backing.Write) {
	w.Key = tablePrefix + fp.String()
	txn.If = append(txn.If, backing.Condition{Key: w.Key, Version: version})
	txn.Writes = append(txn.Writes, w)
}

// encodeRow returns the row of a fingerprint, and false if it has no record any more.
func (l *Ledger) encodeRow(fp types.Fingerprint) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	if r == nil {
		return nil, false
	}
	value, err := json.Marshal(r.toEntry(fp))
	return value, err == nil
}

func decodeRow(value []byte) (Entry, error) {
	var e Entry
	err := json.Unmarshal(value, &e)
	return e, errors.Wrap(err, "suspect: decode table row")
}
