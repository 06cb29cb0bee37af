package directory

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
)

// After an outage a server that is missing from the newest list is kept until the
// list is settled. The store's answer to a question that was put before then comes
// late, with a place further back; the directory leaves it aside, but the follower
// forgets by it that a server is kept. It tells peers that its list is settled,
// takes their word for its own, and sends requests to a server that is gone until
// the next whole list, up to ten seconds later.
func TestLateAnswerDoesNotSettleTheList(t *testing.T) {
	g := gomega.NewWithT(t)
	f := &Follower{Directory: New(), Recorder: event.Discard()}
	f.take(10, listing("a1", "b1"), false, "store")
	f.take(20, listing("a1"), true, "peer")
	g.Expect(f.kept.Load()).To(gomega.BeTrue(), "b1 is kept")
	f.take(15, listing("a1", "b1"), true, "store")
	g.Expect(f.Directory.View().Position).To(gomega.BeNumerically("==", 20))
	g.Expect(f.Directory.server("b1")).NotTo(gomega.BeNil(), "b1 is still in use")
	g.Expect(f.kept.Load()).To(gomega.BeTrue(), "b1 is still kept")
}
