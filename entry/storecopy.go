package entry

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/retry"
)

// eraCheckInterval is how often this process checks whether the store has come back from a
// copy. It learns of it from its own requests or from another entry VM's list.
const eraCheckInterval = 100 * time.Millisecond

// reportEra logs that the store names another era. What an answer of that era says of the
// other entry VMs is used right after.
func (e *Entry) reportEra(c platform.EraChange) {
	e.recorder.Emit(EventStoreEra, "era", c.Era, "was", c.Known, "config_position", e.configHolder.Position(), "list_position", e.directory.View().Position)
	if e.directory.View().Position != 0 {
		e.fleet.EraChanged()
	}
}

// followEras has all parts that keep something in the store write it again, and catch up with
// what other entry VMs know, after each return of the store from a copy.
func (e *Entry) followEras(ctx context.Context) error {
	known := e.directory.View().Position
	for {
		if err := retry.Wait(ctx, eraCheckInterval); err != nil {
			return err
		}
		now := e.directory.View().Position
		if known != 0 && now.Era() > known.Era() {
			e.storeReturned()
		}
		known = now
	}
}

func (e *Entry) storeReturned() {
	e.fleet.EraChanged()
	e.suspects.TableReturned()
	e.streamVersions.StoreReturned()
	e.decider.StoreReturned()
}
