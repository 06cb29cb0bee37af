package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/types"
)

// Record is what the store keeps of a service's newest roll-out, for processes that have
// not seen it.
type Record struct {
	Service  string
	Position types.Position // of the order
	Version  string         // that the order moves to
	Phase    Phase          // Trial, Completed or Reverted
	Began    time.Duration
}

// Saved is a record as the store holds it.
type Saved struct {
	Record
	Revision types.Position // of the record in the store; 0: there is none
	Now      time.Duration  // the store's steady clock, which Record.Began is read from as well
}

// ErrConflict is returned by Store.Save if the record has changed since its revision.
var ErrConflict = errors.New("rollout: another process has written the record")

// Store keeps the records. The operator reads the phase of each.
type Store interface {
	Load(ctx context.Context, service string) (Saved, error)
	// Save replaces the record if it still has the revision that old was loaded with.
	Save(ctx context.Context, r Record, old Saved) (Saved, error)
}
