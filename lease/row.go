package lease

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
)

// Fence is a fencing number: the epoch of the lease, which increases by one with
// each change of holder.
type Fence = uint64

// row is the value of `lease/<name>`.
type row struct {
	Holder string `json:"holder"` // empty: released
	Epoch  Fence  `json:"epoch"`
	Nonce  uint64 `json:"nonce"` // of this write; distinguishes own writes from others
}

// Key returns the table key of a lease.
func Key(name string) string { return "lease/" + name }

// ReadFence returns the current epoch; 0 if the lease was never held.
func ReadFence(ctx context.Context, table backing.Table, name string) (Fence, error) {
	r, _, err := read(ctx, table, name)
	return r.Epoch, err
}

func read(ctx context.Context, table backing.Table, name string) (row, uint64, error) {
	raw, err := table.Get(ctx, Key(name))
	if errors.Is(err, backing.ErrNotFound) {
		return row{}, 0, nil
	}
	if err != nil {
		return row{}, 0, err
	}
	var r row
	if err := json.Unmarshal(raw.Value, &r); err != nil {
		return row{}, 0, errors.Wrapf(err, "lease row %s", raw.Key)
	}
	return r, raw.Version, nil
}

func write(ctx context.Context, table backing.Table, name string, r row, version uint64) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode lease row")
	}
	return table.Commit(ctx, backing.Txn{
		If:     []backing.Condition{{Key: Key(name), Version: version}},
		Writes: []backing.Write{{Key: Key(name), Value: value}},
	})
}
