package fleet

import (
	"sync"

	"github.com/pearyard/pearyard/site"
)

// formerTexts is how many versions before the newest a VM can hand on deltas from:
// changes that follow each other within moments leave others that far behind.
const formerTexts = 4

// texts keeps the last versions of the configuration, so that others that have one
// of them need not read the newest from the store.
type texts struct {
	mu       sync.Mutex
	versions []*site.Versioned // oldest first
	deltas   map[uint64][]byte // to the newest, by the position that they are from; nil: too long
}

// add notes a newer version.
func (t *texts) add(v *site.Versioned) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.versions); n > 0 && t.versions[n-1].Position >= v.Position {
		return
	}
	t.versions = append(t.versions, v)
	t.versions = t.versions[max(0, len(t.versions)-1-formerTexts):]
	t.deltas = map[uint64][]byte{}
}

// since returns what turns the version at a position into the newest, and the
// newest; nil if that is not known, is the newest itself or would be too long.
func (t *texts) since(position uint64) ([]byte, *site.Versioned) {
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
	delta, err := deltaOf(old, text)
	if err != nil || len(delta) > maxDelta {
		return nil // it is read from the store
	}
	return delta
}
