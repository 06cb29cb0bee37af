package route

import (
	"math"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

func TestStatsSurviveRebuild(t *testing.T) {
	g := NewWithT(t)
	first := NewView(nil, members(4, 2), testEpoch)
	sent := mustFind(first, "runner-0001").Begin(&Query{})
	changed := members(5, 2)
	changed[2].Incarnation = 2
	second := NewView(first, changed, testEpoch)

	g.Expect(mustFind(second, "runner-0001").Stats.InFlight()).To(Equal(1))
	sent.End()
	g.Expect(mustFind(second, "runner-0001").Stats.InFlight()).To(Equal(0), "a request sent before the rebuild must be counted down after it")
	g.Expect(mustFind(second, "runner-0002").Stats).NotTo(BeIdenticalTo(mustFind(first, "runner-0002").Stats))
	g.Expect(mustFind(second, "runner-0002").Stats.startedAt.Load()).To(Equal(testEpoch.UnixNano()))
	g.Expect(mustFind(second, "runner-0004").Stats.startedAt.Load()).To(Equal(testEpoch.UnixNano()))
	g.Expect(mustFind(second, "runner-0003").Stats.startedAt.Load()).To(BeZero())
}

func TestSubsetIsStableAndEven(t *testing.T) {
	g := NewWithT(t)
	all := members(1600, 21)
	counts := map[types.ProcessID]int{}
	for i := range 400 {
		for _, c := range Subset(members(400, 1)[i].ID, all, 64) {
			counts[c.ID]++
		}
	}
	top := 0
	for _, n := range counts {
		top = max(top, n)
	}
	g.Expect(counts).To(HaveLen(1600), "every member must be in some subset")
	g.Expect(top).To(BeNumerically("<=", 36), "16 on average")

	before := Subset("router-7", all, 64)
	gone := before[10].ID
	after := Subset("router-7", slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return c.ID == gone }), 64)
	g.Expect(shared(before, after)).To(Equal(63))
	g.Expect(Subset("router-7", all[:10], 64)).To(HaveLen(10))
}

func shared(a, b []Candidate) int {
	n := 0
	for _, c := range a {
		if slices.ContainsFunc(b, func(other Candidate) bool { return other.ID == c.ID }) {
			n++
		}
	}
	return n
}

func TestBlocks(t *testing.T) {
	g := NewWithT(t)
	preamble := strings.Repeat("the terms of delivery ", 200)
	a := Blocks(nil, preamble+strings.Repeat("a", 100_000))
	b := Blocks(nil, preamble+strings.Repeat("b", 700))
	whole := len(preamble) / BlockBytes
	g.Expect(a[:whole]).To(Equal(b[:whole]))
	g.Expect(a[whole]).NotTo(Equal(b[whole]))
	g.Expect(Blocks(nil, strings.Repeat("x", 1<<20))).To(HaveLen(MaxBlocks))
	g.Expect(Blocks(nil, "short")).To(BeEmpty())

	dst := make([]uint64, 0, MaxBlocks)
	g.Expect(testing.AllocsPerRun(100, func() { dst = Blocks(dst[:0], preamble) })).To(BeZero())
}

func TestPrefixMapIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newPrefixMap(1024)
	for key := range uint64(100_000) {
		m.put(key+1, uint32(key), uint32(key))
	}
	g.Expect(m.has(100_000, 0)).To(BeTrue(), "the newest entry must be kept")
	g.Expect(m.has(1, 0)).To(BeFalse(), "the oldest entry must be evicted")
	g.Expect(len(m.buckets) * ways).To(Equal(1024))
}

// Guards against a bucket that keeps only one holder of a popular prefix, so that
// callers wait for prefills although several backend servers hold it: stamps wrapped
// around, the stamp of an empty entry lay in the future, and each new entry
// replaced the previous one.
func TestPrefixMapNamesAllHolders(t *testing.T) {
	g := NewWithT(t)
	for _, now := range []uint32{1, 1 << 30, stampOf(testEpoch.UnixNano()), math.MaxUint32} {
		m := newPrefixMap(1024)
		for handle := range uint32(ways) {
			m.put(42, handle, now)
		}
		var handles [ways]uint32
		g.Expect(m.holders(42, now-1, &handles)).To(Equal(ways), "stamp %d", now)
		m.drop(42, 3, now+1)
		g.Expect(m.holders(42, now-1, &handles)).To(Equal(ways - 1))
	}
}
