package claim

import (
	"context"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/backing"
	"github.com/pearyard/pearyard/types"
)

// Claimed reports whether the idempotency key has a claim, in whatever state.
func (c *Coordinator) Claimed(ctx context.Context, service string, org types.Organisation, key string) (bool, error) {
	_, err := c.opts.Table.Get(ctx, Key(service, org, key))
	if errors.Is(err, backing.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
