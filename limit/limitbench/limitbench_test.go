package limitbench

import (
	"testing"

	"github.com/onsi/gomega"
)

// One organisation sends ten times its share; nine small ones send what they
// always do. Without fair sharing their short generations wait as long as the
// flood's queue is. Their p95 must stay within 1.5 times that of a quiet day.
func TestSmallOrganisationsKeepTheirLatency(t *testing.T) {
	for _, mode := range []Mode{ModeFair, ModeLong} {
		g := gomega.NewWithT(t)
		quiet, flooded := Fairness(mode, quietLoad, 7), Fairness(mode, largeTimes, 7)
		for i, small := range flooded.Small {
			t.Logf("%s %s: p95 %.0f ms, quiet %.0f ms, shed %d of %d", mode, small.Class, small.P95, quiet.Small[i].P95, small.Shed, small.Sent)
			g.Expect(small.P95).To(gomega.BeNumerically("<", 1.5*quiet.Small[i].P95))
			g.Expect(small.Shed).To(gomega.BeNumerically("<=", small.Sent/100))
		}
		g.Expect(flooded.LargeShed).To(gomega.BeNumerically(">", 0))
		g.Expect(flooded.Used).To(gomega.BeNumerically(">", 0.75*0.95), "slots must not stand idle")
	}
}

// An organisation's requests come through one router for ten seconds, then
// through all. Each router has borrowed or has its plain part; together they
// must neither lose much of the limit nor go far beyond it.
func TestLimitsHoldAcrossRouters(t *testing.T) {
	for _, routers := range []int{2, 4, 40} {
		for _, pattern := range patterns {
			g := gomega.NewWithT(t)
			run := Accuracy(routers, pattern, true, 7)
			t.Logf("%+v", run)
			g.Expect(run.Rate).To(gomega.BeNumerically("~", 0.95, 0.08))
			g.Expect(run.RateWorst).To(gomega.BeNumerically("<", 2))
			g.Expect(run.Rate10).To(gomega.BeNumerically("<", 1.1))
			g.Expect(run.Places).To(gomega.BeNumerically(">", 0.75))
			g.Expect(run.PlacesMost).To(gomega.BeNumerically("<", 2))
		}
	}
}
