package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pearyard/pearyard/backing"
)

// maxStale is how far back a read can go; a read of an earlier time gets the oldest
// retained revision.
const maxStale = 30 * time.Second

// table is a transactional table. All versions come from one counter, so that a
// row that is deleted and written again never repeats a version.
type table struct {
	mu      sync.Mutex // guards the fields below
	version uint64
	rows    map[string]*history[*backing.Row] // a nil value means that the row was absent
}

func newTable() *table { return &table{rows: map[string]*history[*backing.Row]{}} }

// get returns the row as it was the duration stale ago, nil if it was absent.
func (t *table) get(key string, stale time.Duration) *backing.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rowAt(key, time.Now().Add(-stale))
}

func (t *table) rowAt(key string, at time.Time) *backing.Row {
	past, ok := t.rows[key]
	if !ok {
		return nil
	}
	return past.asOf(at)
}

// list returns the rows under a prefix as they were the duration stale ago, ordered by
// key: up to limit, or all if limit is 0.
func (t *table) list(prefix string, limit int, stale time.Duration) []backing.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := time.Now().Add(-stale)
	oldest := time.Now().Add(-maxStale)
	out := []backing.Row{}
	for key, past := range t.rows {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if past.asOf(oldest) == nil && past.unchangedSince(oldest) {
			delete(t.rows, key) // deleted before the oldest time that a read can ask for
			continue
		}
		if row := t.rowAt(key, at); row != nil {
			out = append(out, *row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out
}

// commit writes all rows or none and returns the keys whose conditions failed.
func (t *table) commit(txn backing.Txn) (failed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, condition := range txn.If {
		version := uint64(0)
		if row := t.rowAt(condition.Key, now); row != nil {
			version = row.Version
		}
		if version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return failed
	}
	for _, write := range txn.Writes {
		t.write(now, write)
	}
	return nil
}

func (t *table) write(now time.Time, write backing.Write) {
	t.version++
	past, ok := t.rows[write.Key]
	if !ok {
		past = &history[*backing.Row]{retention: maxStale}
		past.add(time.Time{}, nil)
		t.rows[write.Key] = past
	}
	if write.Delete {
		past.add(now, nil)
		return
	}
	past.add(now, &backing.Row{Key: write.Key, Value: write.Value, Version: t.version})
}
