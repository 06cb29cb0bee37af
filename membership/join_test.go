package membership

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

// Two of four seeds are gone, and their addresses swallow calls; processes are
// replaced meanwhile. Each asked one seed after the other, three seconds each, and
// knew no other member until a sound one's turn came; a router has no backend
// server to send callers' requests to in that time.
func TestJoiningGoesPastSeedsThatAreGone(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, n *network) {
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

// Joining costs the whole list, 160 KB at 2,000 members. A seed that answers must
// be the only one that is asked for it.
func TestJoiningAsksOneSeedThatAnswers(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, n *network) {
		seeds := func(o *Options) { o.Seeds = []string{address(1), address(2), address(3), address(4)} }
		n.startAll(8, seeds)
		for i := range 8 {
			joining := n.start(100+i, types.Incarnation(100+i), seeds)
			n.within(time.Second, "joined", joining.hasJoined)
			time.Sleep(2 * time.Second) // before the first comparison after the join
			g.Expect(n.synced(joining.addr)).To(gomega.Equal(1))
		}
	})
}

// The only seed answers late: it is frozen for a while, or its link is squeezed.
// Its answer has to count, not the next question's.
func TestJoiningWaitsForALateSeed(t *testing.T) {
	inBubble(t, func(g *gomega.WithT, n *network) {
		const late = 2800 * time.Millisecond
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
