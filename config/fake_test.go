package config_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/config"
	"github.com/pearyard/pearyard/types"
)

// fakeTable is an in-memory table service with fault injection. onCommit decides
// the outcome of a commit and is called with mu locked; while frozen is set, reads see
// the copy taken by freeze; while down is set, every call fails.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]backing.Row
	frozen   map[string]backing.Row
	version  uint64
	down     bool
	onCommit func(apply func() error) error
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]backing.Row{}} }

func (f *fakeTable) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTable) freeze() {
	f.set(func() {
		f.frozen = map[string]backing.Row{}
		for key, row := range f.rows {
			f.frozen[key] = row
		}
	})
}

func (f *fakeTable) view() (map[string]backing.Row, error) {
	if f.down {
		return nil, backing.ErrUnavailable
	}
	if f.frozen != nil {
		return f.frozen, nil
	}
	return f.rows, nil
}

func (f *fakeTable) Get(_ context.Context, key string) (backing.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, err := f.view()
	if err != nil {
		return backing.Row{}, err
	}
	row, ok := rows[key]
	if !ok {
		return backing.Row{}, backing.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string, limit int) ([]backing.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, err := f.view()
	var out []backing.Row
	for key, row := range rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], err
}

func (f *fakeTable) Commit(_ context.Context, txn backing.Txn) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return backing.ErrUnavailable
	}
	apply := func() error { return f.apply(txn) }
	if f.onCommit != nil {
		return f.onCommit(apply)
	}
	return apply()
}

func (f *fakeTable) apply(txn backing.Txn) error {
	for _, condition := range txn.If {
		if f.rows[condition.Key].Version != condition.Version {
			return &backing.ConflictError{Keys: []string{condition.Key}}
		}
	}
	for _, write := range txn.Writes {
		f.version++
		if write.Delete {
			delete(f.rows, write.Key)
			continue
		}
		f.rows[write.Key] = backing.Row{Key: write.Key, Value: write.Value, Version: f.version}
	}
	return nil
}

type fakeObjects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

func (f *fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	value, ok := f.objects[key]
	if !ok {
		return nil, backing.ErrNotFound
	}
	return value, nil
}

func (f *fakeObjects) Put(_ context.Context, key string, value []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.objects == nil {
		f.objects = map[string][]byte{}
	}
	f.objects[key] = value
	return nil
}

// fakePeers is a Source that reads holders in the same process.
type fakePeers map[string]*config.Holder

func (f fakePeers) Peek(_ context.Context, addr string) (types.Revision, error) {
	holder, ok := f[addr]
	if !ok {
		return 0, backing.ErrUnavailable
	}
	return holder.Revision(), nil
}

func (f fakePeers) Fetch(_ context.Context, from string, rev types.Revision) (types.Revision, []byte, error) {
	holder, ok := f[from]
	if !ok || holder.Revision() < rev {
		return 0, nil, backing.ErrUnavailable
	}
	return holder.Current().Revision, holder.Current().Raw, nil
}

// configOf returns a small configuration whose retainMillis is n.
func configOf(n int) []byte {
	return []byte(fmt.Sprintf("{\n  \"services\": [{\"name\": \"labels\", \"kind\": \"plain\"}],\n  \"recovery\": {\"retainMillis\": %d}\n}\n", n))
}

func newStore(table backing.Table) *config.Store {
	return config.NewStore(config.StoreOptions{Table: table, Objects: &fakeObjects{}})
}

func newHolder() *config.Holder { return config.NewHolder(config.HolderOptions{}) }
