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
	down         bool          // all operations fail
	readOnly     bool          // commits fail
	loseResponse bool          // the next commit takes effect but its response is lost
	delay        time.Duration // the next commit takes effect only after this delay, and its response is lost
}

func (f *faultyTable) Get(_ context.Context, key string) (backing.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return backing.Row{}, backing.ErrUnavailable
	}
	r, ok := f.rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return r, nil
}

func (f *faultyTable) List(context.Context, string, int) ([]backing.Row, error) { return nil, nil }

func (f *faultyTable) Commit(_ context.Context, txn backing.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.readOnly {
		return backing.ErrUnavailable
	}
	if f.delay > 0 {
		delay := f.delay
		f.delay = 0
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_ = f.apply(txn)
		})
		return backing.ErrAmbiguous
	}
	err := f.apply(txn)
	if f.loseResponse {
		f.loseResponse = false
		return backing.ErrAmbiguous
	}
	return err
}

func (f *faultyTable) apply(txn backing.Txn) error {
	for _, c := range txn.If {
		if f.rows[c.Key].Version != c.Version {
			return &backing.ConflictError{Keys: []string{c.Key}}
		}
	}
	for _, w := range txn.Writes {
		f.version += 3
		f.rows[w.Key] = backing.Row{Key: w.Key, Value: w.Value, Version: f.version}
	}
	return nil
}

func (f *faultyTable) setFault(fault func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault()
}
