package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pearyard/pearyard/types"
)

// probeRing is the shuffled round-robin order: each member is probed once per
// pass, so that a dead member is found within two passes.
type probeRing struct {
	ids []types.ProcessID
	pos int
}

// insert adds a new member at a random position in the rest of the current pass.
func (r *probeRing) insert(id types.ProcessID, rng *rand.Rand) {
	if slices.Contains(r.ids, id) {
		return
	}
	r.ids = append(r.ids, id)
	last := len(r.ids) - 1
	at := r.pos + rng.IntN(len(r.ids)-r.pos)
	r.ids[at], r.ids[last] = r.ids[last], r.ids[at]
}

// prioritize makes a member the next one to be probed.
func (r *probeRing) prioritize(id types.ProcessID) {
	if i := slices.Index(r.ids[r.pos:], id); i >= 0 {
		r.ids[r.pos], r.ids[r.pos+i] = r.ids[r.pos+i], r.ids[r.pos]
		return
	}
	r.ids = slices.Insert(r.ids, r.pos, id)
}

// next returns the next member for which keep returns true; the others are removed
// from the ring.
func (r *probeRing) next(rng *rand.Rand, keep func(types.ProcessID) bool) (types.ProcessID, bool) {
	for range len(r.ids) {
		if r.pos >= len(r.ids) {
			r.pos = 0
			rng.Shuffle(len(r.ids), func(i, j int) { r.ids[i], r.ids[j] = r.ids[j], r.ids[i] })
		}
		id := r.ids[r.pos]
		if keep(id) {
			r.pos++
			return id, true
		}
		r.ids = slices.Delete(r.ids, r.pos, r.pos+1)
	}
	return "", false
}

// updateRing adds a member that has joined or returned to the ring; probeRing.next
// removes dead ones.
func (m *Membership) updateRing(t transition) {
	if t.ID != m.table.self && t.Condition != conditionDead && (t.old == "" || t.old == StateDead) {
		m.ring.insert(t.ID, m.rng)
	}
}

// tokenBucket limits the messages outside the round robin.
type tokenBucket struct {
	count    float64
	refilled time.Time
}

// take removes a token if there is one and reports whether there was. rate is in
// tokens per second; size is the maximum number of tokens.
func (b *tokenBucket) take(now time.Time, rate, size float64) bool {
	b.count = min(size, b.count+rate*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.count < 1 {
		return false
	}
	b.count--
	return true
}
