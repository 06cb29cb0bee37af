package suspect

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

const (
	tablePrefix = "suspect/"
	// flushEvery and flushMax bound what suspicion costs the table service:
	// at most flushMax reads and one write a period from each process.
	flushEvery = time.Second
	flushMax   = 16
	// tableTimeout bounds one call to the table service.
	tableTimeout = 2 * time.Second
	// expireEvery is how often old entries are forgotten.
	expireEvery = 10 * time.Second
)

// Run reads the rows kept in the table service, then writes what changes and
// forgets what is old, until ctx ends. The table service being down delays
// only the rows: verdicts and spreading go on.
func (l *Ledger) Run(ctx context.Context) error {
	flush := time.NewTicker(flushEvery)
	defer flush.Stop()
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	table := tableState{}
	loaded := l.opts.Table == nil || l.load(ctx, &table)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			l.expire()
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

// tableState remembers whether the table answered, to tell of changes only.
type tableState struct{ down bool }

func (l *Ledger) noteTable(state *tableState, err error) bool {
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

func (l *Ledger) load(ctx context.Context, state *tableState) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := l.opts.Table.List(ctx, tablePrefix, l.opts.Max)
	if !l.noteTable(state, err) {
		return false
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		if e, err := decodeRow(row.Value); err == nil {
			entries = append(entries, e)
		}
	}
	l.Merge(entries)
	l.mu.Lock()
	for _, e := range entries {
		if l.records[e.Fingerprint] == nil {
			l.gone[e.Fingerprint] = struct{}{} // nobody tidied it: its writer is gone
		}
	}
	l.mu.Unlock()
	return true
}

// flush writes a bounded number of changed rows, each merged with what is there.
func (l *Ledger) flush(ctx context.Context, state *tableState) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	txn, taken, err := l.prepare(ctx, l.take())
	if err == nil && len(txn.Writes) > 0 {
		err = l.opts.Table.Commit(ctx, txn)
	}
	var conflict *backing.ConflictError
	if errors.As(err, &conflict) {
		l.putBack(taken) // another process wrote the row: merge again next time
		return
	}
	if !l.noteTable(state, err) {
		l.putBack(taken) // an ambiguous write is repeated: merging twice is harmless
	}
}

// batch is a set of rows to write or to delete.
type batch struct {
	dirty, gone []types.Fingerprint
}

func (l *Ledger) take() batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b batch
	for fp := range l.dirty {
		if len(b.dirty) == flushMax {
			break
		}
		if l.records[fp].own {
			b.dirty = append(b.dirty, fp)
		}
		delete(l.dirty, fp) // what others told is theirs to write
	}
	for fp := range l.gone {
		if len(b.dirty)+len(b.gone) == flushMax {
			break
		}
		b.gone = append(b.gone, fp)
		delete(l.gone, fp)
	}
	return b
}

func (l *Ledger) putBack(b batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fp := range b.dirty {
		if l.records[fp] != nil {
			l.dirty[fp] = struct{}{}
		}
	}
	for _, fp := range b.gone {
		if l.records[fp] == nil {
			l.gone[fp] = struct{}{}
		}
	}
}

func (l *Ledger) prepare(ctx context.Context, b batch) (backing.Txn, batch, error) {
	var txn backing.Txn
	for _, fp := range b.dirty {
		row, err := l.opts.Table.Get(ctx, tablePrefix+fp.String())
		if err != nil && !errors.Is(err, backing.ErrNotFound) {
			return txn, b, err
		}
		if there, err := decodeRow(row.Value); err == nil {
			l.Merge([]Entry{there})
		}
		value, ok := l.encodeRow(fp)
		if !ok {
			continue
		}
		add(&txn, fp, row.Version, backing.Write{Value: value})
	}
	for _, fp := range b.gone {
		row, err := l.opts.Table.Get(ctx, tablePrefix+fp.String())
		if errors.Is(err, backing.ErrNotFound) {
			continue
		}
		if err != nil {
			return txn, b, err
		}
		add(&txn, fp, row.Version, backing.Write{Delete: true})
	}
	return txn, b, nil
}

func add(txn *backing.Txn, fp types.Fingerprint, version uint64, w backing.Write) {
	w.Key = tablePrefix + fp.String()
	txn.If = append(txn.If, backing.Condition{Key: w.Key, Version: version})
	txn.Writes = append(txn.Writes, w)
}

func (l *Ledger) encodeRow(fp types.Fingerprint) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fp]
	if r == nil {
		return nil, false
	}
	value, err := json.Marshal(r.entry(fp))
	return value, err == nil
}

func decodeRow(value []byte) (Entry, error) {
	var e Entry
	err := json.Unmarshal(value, &e)
	return e, errors.Wrap(err, "suspect row")
}
