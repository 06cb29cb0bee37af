package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a server that has said in an answer that it leaves and gets work again,
// since a list that is older or comes from another VM says that it is ready, or since it was
// dropped and listed again while it still runs.
func TestLeavingIsNotUndoneByLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withStarts(Start{"a1", 100}, Start{"a2", 0}, Start{"a3", 100})
		d.server("a1").ReportLeaving(time.Now())
		d.server("a2").ReportLeaving(time.Now())
		chosen := func() map[string]bool {
			out := map[string]bool{}
			for range 50 {
				if s := d.Pick(Query{Service: "s"}, time.Now()); s != nil {
					out[s.ID] = true
				}
			}
			return out
		}
		g.Expect(chosen()).To(gomega.Equal(map[string]bool{"a3": true}))
		g.Expect(d.Usable(d.server("a1"), time.Now())).To(gomega.BeFalse())
		g.Expect(d.server("a1").Leaving()).To(gomega.BeTrue())
		ready := listingsOf(Start{"a1", 100}, Start{"a2", 0}, Start{"a3", 100})
		d.Apply(2, ready, false, time.Now())
		g.Expect(chosen()).To(gomega.Equal(map[string]bool{"a3": true}), "listed as ready")
		d.Apply(3, listingsOf(Start{"a3", 100}), true, time.Now())
		d.Apply(4, ready, false, time.Now())
		g.Expect(chosen()).To(gomega.Equal(map[string]bool{"a3": true}), "dropped and listed again")
		d.Apply(5, listingsOf(Start{"a1", 200}, Start{"a2", 0}, Start{"a3", 100}), false, time.Now())
		g.Expect(chosen()).To(gomega.Equal(map[string]bool{"a1": true, "a3": true}), "another start begins anew")
		time.Sleep(leavingMemory + time.Minute)
		d.Apply(6, listingsOf(Start{"a3", 100}), false, time.Now())
		g.Expect(d.leaving.at).To(gomega.HaveLen(0), "starts that are gone for long are forgotten")
	})
}

// Guards against a start that is listed anew while a request is under way to it, whose answer
// says that it leaves.
func TestAnswerToRequestSentBeforeServerWasListedAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withStarts(Start{"a1", 100}, Start{"a2", 100})
	asked := d.server("a1")
	d.Apply(2, listingsOf(Start{"a2", 100}), false, time.Now())
	d.Apply(3, listingsOf(Start{"a1", 100}, Start{"a2", 100}), false, time.Now())
	g.Expect(d.server("a1")).NotTo(gomega.BeIdenticalTo(asked))
	asked.ReportLeaving(time.Now())
	g.Expect(d.server("a1").Draining()).To(gomega.BeTrue())
}

// Guards against what another VM has heard of one start of a server that is held against
// another start.
func TestPeerSaysThatServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	d := withStarts(Start{"a1", 200}, Start{"a2", 100})
	d.RecordPeerLeaving(Start{"a1", 100}.Hash(), time.Now())
	g.Expect(d.server("a1").Draining()).To(gomega.BeFalse())
	d.RecordPeerLeaving(Start{"a2", 100}.Hash(), time.Now())
	g.Expect(d.server("a2").Draining()).To(gomega.BeTrue())
	g.Expect(d.DroppedReports()).To(gomega.BeNumerically("==", 1))
	news := d.TakeLeavingNews()
	g.Expect(news).To(gomega.HaveLen(1))
	g.Expect(news[0].ByPeer).To(gomega.BeTrue())
	g.Expect(d.TakeLeavingNews()).To(gomega.BeEmpty())
}
