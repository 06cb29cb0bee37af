package fleet

import (
	"sync"

	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// maxOldVersions is how many versions before the newest a VM can send deltas from: changes
// in quick succession leave other VMs that far behind.
const maxOldVersions = 4

// configHistory keeps the last versions of the configuration, so that a VM that has one of
// them gets a delta and need not read the newest from the store.
type configHistory struct {
	mu       sync.Mutex
	versions []*site.Versioned         // oldest first
	deltas   map[types.Position][]byte // to the newest version, by the position of the old one; nil: too long
}

// add appends a version unless it is no newer than the newest.
func (h *configHistory) add(v *site.Versioned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.versions); n > 0 && !v.NewerThan(h.versions[n-1]) {
		return
	}
	h.versions = append(h.versions, v)
	h.versions = h.versions[max(0, len(h.versions)-1-maxOldVersions):]
	h.deltas = map[types.Position][]byte{}
}

// deltaSince returns the delta from the version at a position to the newest, and the
// newest version. Both are nil if that version is unknown or is the newest itself; the
// delta is nil if it would be too long.
func (h *configHistory) deltaSince(position types.Position) ([]byte, *site.Versioned) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, v := range h.versions {
		if v.Position != position || i == len(h.versions)-1 {
			continue
		}
		newest := h.versions[len(h.versions)-1]
		delta, made := h.deltas[position]
		if !made {
			delta = boundedDelta(v.Raw, newest.Raw)
			h.deltas[position] = delta
		}
		return delta, newest
	}
	return nil, nil
}

func boundedDelta(old, text []byte) []byte {
	delta, err := makeDelta(old, text)
	if err != nil || len(delta) > maxDeltaBytes {
		return nil // the peer reads the store instead
	}
	return delta
}
