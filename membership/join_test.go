package membership

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

// Guards against a slow join when two of four seeds are gone and their addresses
// drop calls. If seeds are asked one after the other, each such seed costs three
// seconds in which the process knows no other member; a router then has no backend
// server to send requests to.
func TestJoinSkipsUnreachableSeeds(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		seeds := func(o *Options) { o.Seeds = []string{address(1), address(2), address(3), address(4)} }
		nodes := n.startAll(8, seeds)
		nodes[0].kill()
		nodes[1].kill()
		for i := range 8 {
			joining := n.start(100+i, types.Incarnation(100+i), seeds)
			took := n.within(20*time.Second, "joined", joining.hasJoined)
			g.Expect(took).To(gomega.BeNumerically("<=", 1500*time.Millisecond), "member %d", 100+i)
		}
	})
}

// Joining transfers the whole list, 160 KB at 2,000 members, so only one seed may
// be asked as long as it answers.
func TestJoinAsksOnlyOneRespondingSeed(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		seeds := func(o *Options) { o.Seeds = []string{address(1), address(2), address(3), address(4)} }
		n.startAll(8, seeds)
		for i := range 8 {
			joining := n.start(100+i, types.Incarnation(100+i), seeds)
			n.within(time.Second, "joined", joining.hasJoined)
			time.Sleep(2 * time.Second) // ends before the first comparison after the join
			g.Expect(n.syncPeers(joining.addr)).To(gomega.Equal(1))
		}
	})
}

// Guards against discarding a late answer of the only seed, which is frozen for a
// while or behind a slow link: the process must join by the first answer instead
// of asking again.
func TestJoinAcceptsLateSeed(t *testing.T) {
	inVirtualTime(t, func(g *gomega.WithT, n *network) {
		const late = 2800 * time.Millisecond // just below syncTimeout
		seeds := func(o *Options) { o.Seeds = []string{address(1)} }
		seed := n.startAll(2, seeds)[0]
		seed.freeze()
		time.AfterFunc(late, seed.thaw)
		var joining []*node
		for i := range 8 {
			joining = append(joining, n.start(100+i, types.Incarnation(100+i), seeds))
		}
		n.within(late+40*time.Millisecond, "all have joined", func() bool {
			for _, nd := range joining {
				if !nd.hasJoined() {
					return false
				}
			}
			return true
		})
	})
}
