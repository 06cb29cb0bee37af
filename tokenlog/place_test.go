package tokenlog

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/types"
)

func sites(n, zones int) []Site {
	out := make([]Site, n)
	for i := range out {
		out[i] = Site{Address: fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255), Zone: types.Zone(fmt.Sprint("z", i%zones))}
	}
	return out
}

// Journal peers must be in as many zones as possible and, while there are others, not in
// the runner's zone. Routers and sidecars list the members in different orders and must
// compute the same peers; a router doesn't know the runner, and must find all peers by
// asking for one more.
func TestPlaceSpreadsOverZonesAndIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		members := sites(rapid.IntRange(1, 40).Draw(t, "members"), rapid.IntRange(1, 5).Draw(t, "zones"))
		key := types.Key(rapid.Uint64().Draw(t, "key"))
		n := rapid.IntRange(1, 6).Draw(t, "n")
		got := Place(key, members, n, "")
		g.Expect(Place(key, rapid.Permutation(members).Draw(t, "order"), n, "")).To(Equal(got))

		inZone, zones := map[string]types.Zone{}, map[types.Zone]bool{}
		for _, m := range members {
			inZone[m.Address] = m.Zone
			zones[m.Zone] = true
		}
		used := map[types.Zone]bool{}
		for _, addr := range got {
			used[inZone[addr]] = true
		}
		g.Expect(used).To(HaveLen(min(n, len(zones), len(got))))

		runner := rapid.SampledFrom(members).Draw(t, "runner").Address
		g.Expect(Place(key, members, n+1, "")).To(ContainElements(Place(key, members, n, runner)))
		g.Expect(Place(key, members, n, runner)).NotTo(ContainElement(runner))
		for i, addr := range Place(key, members, n, runner) {
			if i < len(zones)-1 {
				g.Expect(inZone[addr]).NotTo(Equal(inZone[runner]), "losing a zone would take both runner and journal")
			}
		}
	})
}

// When one VM of 1,600 is replaced, only the generations that it held a journal of may
// move, so that a reader with a slightly outdated member list still finds the others.
func TestOneMemberLessMovesLittle(t *testing.T) {
	g := NewWithT(t)
	members := sites(1600, 21)
	const keys, copies = 4000, 2 // on average 5 placements per member
	moved, load := 0, map[string]int{}
	for k := range types.Key(keys) {
		before := Place(k*0x9e3779b97f4a7c15, members, copies, "")
		after := Place(k*0x9e3779b97f4a7c15, members[1:], copies, "")
		for i, addr := range before {
			load[addr]++
			if after[i] != addr {
				moved++
			}
		}
	}
	t.Logf("%d of %d placements moved; %d members used", moved, keys*copies, len(load))
	g.Expect(moved).To(BeNumerically("<", 40))
	g.Expect(len(load)).To(BeNumerically(">", 1550))
}

func BenchmarkPlace1600(b *testing.B) {
	members := sites(1600, 21)
	b.ReportAllocs()
	for i := range b.N {
		Place(types.Key(i), members, 4, "")
	}
}
