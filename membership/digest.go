package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// bucketCount is the number of buckets into which the member list is split for
// comparison. Comparing two equal lists takes half a kilobyte, and one difference
// among 2,000 members transfers about thirty records.
const bucketCount = 64

// digests holds one digest per bucket: the XOR of the hashes of its records, so
// that a change updates it in constant time.
type digests [bucketCount]uint64

func bucketOf(id types.ProcessID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % bucketCount)
}

// toggle adds a record to its bucket's digest, or removes it. Dead members are
// excluded: processes forget them at different times and would otherwise keep
// returning forgotten ones to each other.
func (d *digests) toggle(r record) {
	if r.Condition == conditionDead {
		return
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(r.ID))
	var b [14]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint32(b[8:], r.Counter)
	b[12] = byte(r.Condition)
	if r.Leaving {
		b[13] = 1
	}
	_, _ = h.Write(b[:])
	d[bucketOf(r.ID)] ^= h.Sum64()
}

// differing returns the buckets whose digests differ from other.
func (d *digests) differing(other []uint64) []uint32 {
	var out []uint32
	for i := range d {
		if i >= len(other) || d[i] != other[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}
