package site

import (
	"time"

	"github.com/pearyard/pearyard/types"
)

// RolloutOrder is the operator's order to move a service's requests to backend servers of
// another version, which run beside those of the current one until then.
type RolloutOrder struct {
	Service  string
	Version  string         // of the software to move to
	Duration time.Duration  // from the order to its deadline
	Position types.Position // of the order in the store's history; identifies it
}
