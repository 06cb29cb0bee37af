package fleet

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/retry"
)

const (
	// firstReadInterval is how often a process that starts checks whether it has read the store.
	firstReadInterval = 2 * time.Millisecond
	// secondQueryDelay is how long after the first queries of an era the peers are queried
	// again: some may have been about to learn of the era as well.
	secondQueryDelay = time.Second
)

// EraChanged tells that the store has come back from a copy.
func (f *Fleet) EraChanged() {
	f.retainUntil.Store(time.Now().Add(registryRetainPeriod).UnixNano())
	signal(f.eraChanged)
	signal(f.registryReturned)
}

// CatchUpWithPeers queries peers for what the store may lack until ctx ends: once this process has
// read the store after its start, once it knows all peers, and after each EraChanged.
func (f *Fleet) CatchUpWithPeers(ctx context.Context) error {
	for f.opts.Holder.Position() == 0 || f.opts.Directory.View().Position == 0 {
		if err := retry.Wait(ctx, firstReadInterval); err != nil {
			return err
		}
	}
	f.askPeers(ctx, true)
	known := f.Known()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-known:
			known = nil
			f.askPeers(ctx, true)
		case <-f.eraChanged:
			f.askPeers(ctx, true)
			if err := retry.Wait(ctx, secondQueryDelay); err != nil {
				return err
			}
			f.askPeers(ctx, true)
		}
	}
}
