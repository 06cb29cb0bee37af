package limitbench

import (
	"testing"

	"github.com/onsi/gomega"
)

// While one organisation sends ten times its share, the p95 latency of nine small
// ones under normal load must stay within 1.5 times its usual value. Without fair
// sharing, their requests would wait behind the large organisation's queue.
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
		g.Expect(flooded.Used).To(gomega.BeNumerically(">", 0.75*0.95), "slots must not be idle")
	}
}

// Several routers enforce an organisation's limit together, while its requests
// arrive in changing patterns. They must neither lose much of the limit, because
// requests arrive where little of it is available, nor exceed it by much, because
// several routers borrow the same part.
func TestLimitsHoldAcrossRouters(t *testing.T) {
	for _, routers := range []int{2, 4, 40} {
		for _, pattern := range patterns {
			g := gomega.NewWithT(t)
			run := Accuracy(routers, pattern, true, 7)
			t.Logf("%+v", run)
			g.Expect(run.Rate).To(gomega.BeNumerically("~", 0.95, 0.08))
			g.Expect(run.RateMax1s).To(gomega.BeNumerically("<", 2))
			g.Expect(run.RateMax10s).To(gomega.BeNumerically("<", 1.1))
			g.Expect(run.Concurrency).To(gomega.BeNumerically(">", 0.75))
			g.Expect(run.ConcurrencyMax).To(gomega.BeNumerically("<", 2))
		}
	}
}
