package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/backing"
)

// memory is a table service in memory. Its faults are set per client with view.
type memory struct {
	mu      sync.Mutex
	rows    map[string]backing.Row
	version uint64 // shared by all rows: versions grow, but not by one
}

func newMemory() *memory { return &memory{rows: map[string]backing.Row{}} }

// view is one process's way to the table, with its own faults.
type view struct {
	*memory
	down       bool          // nothing gets through
	readOnly   bool          // reads get through, commits don't
	loseAnswer bool          // the next commit takes effect, its answer is lost
	late       time.Duration // the next commit's answer is lost and it takes effect only after this
}

func (v *view) Get(_ context.Context, key string) (backing.Row, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down {
		return backing.Row{}, backing.ErrUnavailable
	}
	r, ok := v.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return r, nil
}

func (v *view) List(context.Context, string, int) ([]backing.Row, error) { return nil, nil }

func (v *view) Commit(_ context.Context, txn backing.Txn) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.down || v.readOnly {
		return backing.ErrUnavailable
	}
	if v.late > 0 {
		late := v.late
		v.late = 0
		time.AfterFunc(late, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			_ = v.apply(txn)
		})
		return backing.ErrAmbiguous
	}
	err := v.apply(txn)
	if v.loseAnswer {
		v.loseAnswer = false
		return backing.ErrAmbiguous
	}
	return err
}

func (v *view) apply(txn backing.Txn) error {
	for _, c := range txn.If {
		if v.rows[c.Key].Version != c.Version {
			return &backing.ConflictError{Keys: []string{c.Key}}
		}
	}
	for _, w := range txn.Writes {
		v.version += 3
		v.rows[w.Key] = backing.Row{Key: w.Key, Value: w.Value, Version: v.version}
	}
	return nil
}

func (v *view) set(fault func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fault()
}
