package directory

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
)

// After an outage, a server missing from the newest list is retained until the list is
// settled. Then a response to an earlier request arrives late, with an older position,
// and the directory ignores it. Guards against a follower that takes the ignored list as
// proof that no server is retained: it told peers that its list was settled, accepted
// their lists in place of its own, and sent requests to a lost server until the next
// whole list, up to ten seconds later.
func TestLateResponseDoesNotSettleTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Follower{Directory: New(), Recorder: event.Discard()}
	f.apply(10, listing("a1", "b1"), false, "store")
	f.apply(20, listing("a1"), true, "peer")
	g.Expect(f.retained.Load()).To(gomega.BeTrue(), "b1 is retained")
	f.apply(15, listing("a1", "b1"), true, "store")
	g.Expect(f.Directory.View().Position).To(gomega.BeNumerically("==", 20))
	g.Expect(f.Directory.server("b1")).NotTo(gomega.BeNil(), "b1 is still in use")
	g.Expect(f.retained.Load()).To(gomega.BeTrue(), "b1 is still retained")
}
