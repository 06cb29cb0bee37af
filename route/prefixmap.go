package route

import "sync/atomic"

// ways is how many entries a bucket of the prefix map has, and so how many
// holders of one block it can name.
const ways = 8

// prefixMap is a bounded map from prefix keys to the candidates believed to
// hold them: a fixed table of buckets, in which the entry seen least recently
// makes room. It has no lock. An entry is two words that may be read one
// before and one after a change; the wrong holder that comes of it costs one
// prefill, and the view resolves no handle but those of its own candidates.
type prefixMap struct {
	buckets []bucket
	mask    uint64
}

type bucket [ways]entry

type entry struct {
	key   atomic.Uint64
	value atomic.Uint64 // handle in the upper half, stamp in the lower
}

func newPrefixMap(entries int) *prefixMap {
	n := 1
	for n*ways < entries {
		n *= 2
	}
	return &prefixMap{buckets: make([]bucket, n), mask: uint64(n - 1)}
}

// stampUnit is the resolution of stamps: 2^26 ns, about 67 ms.
const stampUnit = 26

// stampOf cuts a time in Unix nanoseconds down to 32 bits; it wraps after nine years.
func stampOf(now int64) uint32 { return uint32(now >> stampUnit) }

// before compares stamps across the wrap.
func before(a, b uint32) bool { return int32(a-b) < 0 }

func pack(handle, stamp uint32) uint64 { return uint64(handle)<<32 | uint64(stamp) }

func unpack(value uint64) (handle, stamp uint32) { return uint32(value >> 32), uint32(value) }

func (m *prefixMap) bucket(key uint64) *bucket { return &m.buckets[mix(key)&m.mask] }

// holders fills dst with the handles of key's entries not seen before oldest.
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

// has tells whether any holder of key is known.
func (m *prefixMap) has(key uint64, oldest uint32) bool {
	var dst [ways]uint32
	return m.holders(key, oldest, &dst) > 0
}

// put notes that handle holds key.
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

// victim returns an empty entry, or the one seen least recently. Emptiness is
// told by the key: the stamp of an empty entry, 0, may be in the future as
// stamps wrap, and then one entry of each bucket would take all the changes.
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

// drop forgets that handle holds key, unless that was noted after limit.
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
