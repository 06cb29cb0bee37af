package membership

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

const (
	targetRouters  = 400
	targetSidecars = 1600
	targetSubset   = 40
)

func targetSite() []Member {
	out := make([]Member, 0, targetRouters+targetSidecars)
	for i := range targetRouters {
		out = append(out, Member{ID: types.ProcessID(fmt.Sprintf("router-%d", i)), Role: types.RoleRouter, State: StateAlive})
	}
	for i := range targetSidecars {
		out = append(out, Member{ID: types.ProcessID(fmt.Sprintf("sidecar-%d", i)), Role: types.RoleSidecar, State: StateAlive})
	}
	return out
}

// links returns the pairs of router and sidecar that the subsets select.
func links(site []Member) map[[2]types.ProcessID]bool {
	out := map[[2]types.ProcessID]bool{}
	for _, m := range site {
		if m.Role != types.RoleRouter || m.State != StateAlive {
			continue
		}
		for _, s := range Subset(m.ID, site, targetSubset) {
			out[[2]types.ProcessID{m.ID, s.ID}] = true
		}
	}
	return out
}

func newLinks(before, after map[[2]types.ProcessID]bool) int {
	count := 0
	for link := range after {
		if !before[link] {
			count++
		}
	}
	return count
}

// Guards against uneven subsets: if routers chose backend servers at random, some
// would be chosen by 20 routers and some by none, which would idle while requests
// are refused.
func TestSubsetsAreEven(t *testing.T) {
	g := gomega.NewWithT(t)
	site := targetSite()
	before := links(site)
	cover := map[types.ProcessID]int{}
	for link := range before {
		cover[link[1]]++
	}
	const mean = targetRouters * targetSubset / targetSidecars
	g.Expect(cover).To(gomega.HaveLen(targetSidecars))
	for _, c := range cover {
		g.Expect(c).To(gomega.BeNumerically("~", mean, 1))
	}
	g.Expect(before).To(gomega.HaveLen(targetRouters * targetSubset))

	// Count the new links after a router or a sidecar is gone.
	for _, gone := range []int{77, targetRouters} {
		site[gone].State = StateDead
		count := newLinks(before, links(site))
		t.Logf("%s goes: %d of %d links are new", site[gone].ID, count, len(before))
		g.Expect(count).To(gomega.BeNumerically("<=", len(before)/10))
		site[gone].State = StateAlive
	}
	site[targetRouters].State = StateSuspect
	for _, s := range Subset("router-5", site, targetSubset) {
		g.Expect(before).To(gomega.HaveKey([2]types.ProcessID{"router-5", s.ID}), "a suspicion must not change subsets")
	}
}

func BenchmarkSubset(b *testing.B) {
	site := targetSite()
	for b.Loop() {
		Subset("router-5", site, targetSubset)
	}
}
