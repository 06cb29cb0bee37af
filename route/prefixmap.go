package route

import "sync/atomic"

// ways is the associativity of the prefix map: the entries per bucket, and so the
// maximum number of holders of one block.
const ways = 8

// prefixMap is a bounded map from prefix keys to the candidates believed to hold
// them: a fixed table of buckets in which the least recently seen entry is
// replaced. It is lock-free. The two words of an entry may be read before and
// after a concurrent change; a wrong holder that results costs one prefill, and
// the view resolves only handles of its own candidates.
type prefixMap struct {
	buckets []bucket
	mask    uint64
}

type bucket [ways]entry

type entry struct {
	key   atomic.Uint64
	value atomic.Uint64 // handle in the upper half, stamp in the lower half
}

func newPrefixMap(entries int) *prefixMap {
	n := 1
	for n*ways < entries {
		n *= 2
	}
	return &prefixMap{buckets: make([]bucket, n), mask: uint64(n - 1)}
}

// stampShift gives the resolution of stamps: 2^26 ns, about 67 ms.
const stampShift = 26

// stampOf reduces a time in Unix nanoseconds to 32 bits; it wraps around after
// nine years.
func stampOf(now int64) uint32 { return uint32(now >> stampShift) }

// before compares stamps across wraparound.
func before(a, b uint32) bool { return int32(a-b) < 0 }

func pack(handle, stamp uint32) uint64 { return uint64(handle)<<32 | uint64(stamp) }

func unpack(value uint64) (handle, stamp uint32) { return uint32(value >> 32), uint32(value) }

func (m *prefixMap) bucket(key uint64) *bucket { return &m.buckets[mix(key)&m.mask] }

// holders fills dst with the handles of key's entries that were seen at oldest or
// later, and returns their number.
func (m *prefixMap) holders(key uint64, oldest uint32, dst *[ways]uint32) int {
	n := 0
	b := m.bucket(key)
	for i := range b {
		if b[i].key.Load() != key {
			continue
		}
		handle, stamp := unpack(b[i].value.Load())
		if !before(stamp, oldest) {
			dst[n] = handle
			n++
		}
	}
	return n
}

// has reports whether any holder of key is known.
func (m *prefixMap) has(key uint64, oldest uint32) bool {
	var dst [ways]uint32
	return m.holders(key, oldest, &dst) > 0
}

// put records that handle holds key.
func (m *prefixMap) put(key uint64, handle, stamp uint32) {
	b := m.bucket(key)
	for i := range b {
		have, _ := unpack(b[i].value.Load())
		if b[i].key.Load() == key && have == handle {
			b[i].value.Store(pack(handle, stamp))
			return
		}
	}
	e := b.victim()
	e.key.Store(key)
	e.value.Store(pack(handle, stamp))
}

// victim returns an empty entry, or the least recently seen one. An empty entry is
// recognised by its key. Its stamp, 0, may be in the future because stamps wrap
// around; judged by the stamp, one entry of each bucket would receive all changes.
func (b *bucket) victim() *entry {
	oldest := &b[0]
	for i := range b {
		if b[i].key.Load() == 0 {
			return &b[i]
		}
		_, seen := unpack(b[i].value.Load())
		if _, oldestSeen := unpack(oldest.value.Load()); before(seen, oldestSeen) {
			oldest = &b[i]
		}
	}
	return oldest
}

// drop removes the entry that handle holds key, unless it was recorded at limit or
// later.
func (m *prefixMap) drop(key uint64, handle, limit uint32) {
	b := m.bucket(key)
	for i := range b {
		have, stamp := unpack(b[i].value.Load())
		if b[i].key.Load() == key && have == handle && before(stamp, limit) {
			b[i].key.Store(0)
			b[i].value.Store(0)
		}
	}
}
