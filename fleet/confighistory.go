package fleet

import (
	"sync"

	"github.com/pearyard/pearyard/site"
)

// maxOldVersions is how many versions before the newest a VM can send deltas from: changes
// in quick succession leave other VMs that far behind.
const maxOldVersions = 4

// configHistory keeps the last versions of the configuration, so that a VM that has one of
// them gets a delta and need not read the newest from the store.
type configHistory struct {
	mu       sync.Mutex
	versions []*site.Versioned // oldest first
	deltas   map[uint64][]byte // to the newest version, by the position of the old one; nil: too long
}

// add appends a version unless it is no newer than the newest.
func (t *configHistory) add(v *site.Versioned) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.versions); n > 0 && t.versions[n-1].Position >= v.Position {
		return
	}
	t.versions = append(t.versions, v)
	t.versions = t.versions[max(0, len(t.versions)-1-maxOldVersions):]
	t.deltas = map[uint64][]byte{}
}

// deltaSince returns the delta from the version at a position to the newest, and the
// newest version. Both are nil if that version is unknown or is the newest itself; the
// delta is nil if it would be too long.
func (t *configHistory) deltaSince(position uint64) ([]byte, *site.Versioned) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, v := range t.versions {
		if v.Position != position || i == len(t.versions)-1 {
			continue
		}
		newest := t.versions[len(t.versions)-1]
		delta, made := t.deltas[position]
		if !made {
			delta = boundedDelta(v.Raw, newest.Raw)
			t.deltas[position] = delta
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
