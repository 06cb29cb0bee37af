package suspect

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	suspectpb "github.com/pearyard/pearyard/rpc/suspect"
	"github.com/pearyard/pearyard/types"
)

const crashLimit = 3

func newHoldingLedger() *Ledger {
	return New(Options{Limit: LedgerLimit(crashLimit), Quarantine: time.Minute, Window: time.Minute, HoldAccused: true})
}

// excuseDeaths excuses the deaths of engines, each under the same requests.
func excuseDeaths(l *Ledger, why Excuse, engines []string, fps ...types.Fingerprint) {
	for _, engine := range engines {
		for _, fp := range fps {
			l.ExcuseDeath(engine, fp, false, why)
		}
	}
}

// Guards against excused deaths that are forgotten: they quarantine nothing, but accuse.
func TestExcusedDeathsAccuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := newHoldingLedger()
		excuseDeaths(l, ExcuseZoneLoss, []string{"a/1", "b/1"}, poison)
		g.Expect(l.Accused(poison)).To(gomega.BeFalse())
		excuseDeaths(l, ExcuseZoneLoss, []string{"c/1"}, poison)
		g.Expect(l.Accused(poison)).To(gomega.BeTrue())
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Clear))
		g.Expect(l.TryRun(poison, "d/1")).To(gomega.BeTrue())
		g.Expect(l.TryRun(poison, "e/1")).To(gomega.BeFalse(), "one copy at a time")
		l.RevokeExcuses(poison, ExcuseOther)
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Clear))
		l.RevokeExcuses(poison, ExcuseZoneLoss)
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
		time.Sleep(accusationWindow + time.Second)
		g.Expect(l.Accusations().Accused(poison)).To(gomega.BeFalse(), "old deaths accuse no more")
	})
}

// Guards against a request that is judged as if it were new once its excused deaths are old.
func TestRequestIsAccusedAsLongAsItsDeathsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := newHoldingLedger()
		excuseDeaths(l, ExcuseZoneLoss, []string{"a/1", "b/1", "c/1"}, poison, neighbour)
		time.Sleep(accusationWindow + time.Second)
		g.Expect(l.Accused(poison)).To(gomega.BeTrue())
		g.Expect(l.Accusations().Involved("a/1")).To(gomega.BeFalse(), "it excuses no other request for as long")
		l.RecordProgress(neighbour)
		g.Expect(l.Accused(neighbour)).To(gomega.BeFalse())
		l.RevokeExcuses(poison, ExcuseZoneLoss)
		g.Expect(l.Verdict(poison).State).To(gomega.Equal(Quarantined))
		time.Sleep(time.Minute)
		g.Expect(l.Accused(poison)).To(gomega.BeFalse())
	})
}

// Guards against a popular request that is held back after the loss of a zone in which many
// copies of it ran.
func TestRequestThatSurvivedIsNotAccused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := newHoldingLedger()
		excuseDeaths(l, ExcuseZoneLoss, []string{"a/1", "b/1", "c/1"}, poison, neighbour)
		l.RecordProgress(neighbour)
		g.Expect(l.Accused(poison)).To(gomega.BeTrue())
		g.Expect(l.Accused(neighbour)).To(gomega.BeFalse())
		l.RevokeExcuses(neighbour, ExcuseZoneLoss)
		g.Expect(l.Verdict(neighbour).State).To(gomega.Equal(Clear), "its deaths were cleared")
	})
}

// Guards against poisoned requests that excuse each other for ever because each of their
// engines ran several of them.
func TestAccusedRequestsExcuseEachOtherOnlyWhereAllEnginesRanSeveral(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newHoldingLedger()
	excuseDeaths(l, ExcusePending, []string{"a/1", "b/1", "c/1"}, 1, 2)
	excuseDeaths(l, ExcusePending, []string{"d/1"}, 2)
	accusations := l.Accusations()
	g.Expect(accusations.AlwaysBesideOthers(1)).To(gomega.BeTrue())
	g.Expect(accusations.AlwaysBesideOthers(2)).To(gomega.BeFalse(), "it was alone on d")
	g.Expect(accusations.Involved("a/1")).To(gomega.BeTrue())
	g.Expect(accusations.Involved("e/1")).To(gomega.BeFalse())
}

// Guards against a process of an older release that counts excused deaths, and against
// excuses that are lost on the way.
func TestExcusedDeathsTravelApart(t *testing.T) {
	g := gomega.NewWithT(t)
	from, to := newHoldingLedger(), newHoldingLedger()
	excuseDeaths(from, ExcuseZoneLoss, []string{"a/1", "b/1", "c/1"}, poison)
	entries, _ := from.Deltas(0)
	sent := toWire(entries)
	g.Expect(sent).To(gomega.HaveLen(1))
	g.Expect(sent[0].GetDeaths()).To(gomega.BeEmpty())
	_, err := to.Server().Exchange(t.Context(), &suspectpb.ExchangeRequest{Entries: sent})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(to.Verdict(poison).State).To(gomega.Equal(Clear))
	g.Expect(to.Accused(poison)).To(gomega.BeTrue())
}

// BenchmarkAccused measures what each attempt pays while deaths are on record.
func BenchmarkAccused(b *testing.B) {
	l := newHoldingLedger()
	for i := range 500 {
		excuseDeaths(l, ExcuseZoneLoss, []string{fmt.Sprint(i, "/1")}, types.Fingerprint(i))
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l.Accused(7)
		}
	})
}
