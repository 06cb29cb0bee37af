package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pearyard/pearyard/backing"
)

// memoryTable is a table service in memory. Faults are set for each client, in
// faultyTable.
type memoryTable struct {
	mu      sync.Mutex
	rows    map[string]backing.Row
	version uint64 // shared by all rows: versions increase, but not by one
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]backing.Row{}} }

// faultyTable is one process's access to the table, with its own faults.
type faultyTable struct {
	*memoryTable
	down       bool          // all operations fail
	readOnly   bool          // commits fail
	loseAnswer bool          // the next commit takes effect but its response is lost
	late       time.Duration // the next commit takes effect only after this, and its response is lost
}

func (v *faultyTable) Get(_ context.Context, key string) (backing.Row, error) {
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

func (v *faultyTable) List(context.Context, string, int) ([]backing.Row, error) { return nil, nil }

func (v *faultyTable) Commit(_ context.Context, txn backing.Txn) error {
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

func (v *faultyTable) apply(txn backing.Txn) error {
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

func (v *faultyTable) setFault(fault func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	fault()
}
