package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

// bucketCount is into how many buckets the member list is cut for comparison:
// two equal lists are compared for half a kilobyte, and one difference among
// 2,000 members costs the records of some thirty.
const bucketCount = 64

// digests holds one digest a bucket: the exclusive or of its records' hashes,
// so that one change updates it in constant time.
type digests [bucketCount]uint64

func bucketOf(id types.ProcessID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % bucketCount)
}

// toggle adds a record to its bucket's digest, or removes it. The dead don't
// count: members forget them at different times, and would otherwise hand
// forgotten ones back to each other for ever.
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

// differing lists the buckets in which other isn't the same.
func (d *digests) differing(other []uint64) []uint32 {
	var out []uint32
	for i := range d {
		if i >= len(other) || d[i] != other[i] {
			out = append(out, uint32(i))
		}
	}
	return out
}
