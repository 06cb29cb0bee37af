package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Callers of different urgency compete for servers with little memory and few places, beside
// disturbed servers and restarts. It runs half of the seeds, as CI's time is short.
func TestCallersOfDifferentUrgency(t *testing.T) {
	var plans []Plan
	for i := range max(1, *seeds/2) {
		plans = append(plans, ContentionPlan(sizeFromFlags(), *firstSeed+uint64(i), *length))
	}
	runPlans(t, plans)
}

// Guards against checks that find nothing, and against a comparison that takes chance for a
// wrong order.
func TestWhatCountsAgainstUrgency(t *testing.T) {
	g := gomega.NewWithT(t)
	at := time.Unix(1000, 0)
	streams := func(prefix string, served, late, refused int) []Call {
		var calls []Call
		add := func(n int, c Call) {
			for range n {
				c.Path, c.Sent = prefix+"r1", at
				calls = append(calls, c)
			}
		}
		add(served, Call{Status: 200, Complete: true, Begun: at.Add(inTime)})
		add(late, Call{Status: 200, Complete: true, Begun: at.Add(inTime + 1)})
		add(refused, Call{Status: 503, Complete: true, Begun: at})
		return calls
	}
	worse := func(first, last []Call) []string {
		return countByUrgency(append(first, last...), at.Add(1)).violations()
	}
	least := contendedPaths[2]
	g.Expect(worse(streams(streamPath, 50, 25, 25), streams(least, 80, 20, 0))).To(gomega.HaveLen(1))
	g.Expect(worse(streams(streamPath, 80, 20, 0), streams(least, 20, 0, 80))).To(gomega.BeEmpty(), "the most urgent are served better")
	g.Expect(worse(streams(streamPath, 70, 30, 0), streams(least, 80, 20, 0))).To(gomega.BeEmpty(), "by chance")
	g.Expect(worse(streams(streamPath, 0, 20, 0), streams(least, 20, 0, 0))).To(gomega.BeEmpty(), "too few")
	second := streams(streamPath, 80, 20, 0)
	for i := range second {
		second[i].ID = secondIDPrefix
	}
	g.Expect(worse(streams(streamPath, 50, 50, 0), second)).To(gomega.HaveLen(1), "the second organisation is served better")
	after := countByUrgency(streams(streamPath, 9, 9, 9), at)
	g.Expect(after.firstRoute.sent).To(gomega.BeZero(), "sent when the disruptions were over")
	left := Call{Path: "/stream/r1", Sent: at, Ended: at.Add(2), patience: 2}
	g.Expect(countByUrgency([]Call{left}, at.Add(1)).firstRoute.sent).To(gomega.BeZero(), "the caller has left")
}

// Guards against checks that find nothing: a refusal that doesn't say when to come back, and
// a queue that holds a request nobody waits for.
func TestWhatCountsAgainstRefusalsAndQueues(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls []Call
	for _, after := range []string{"0.400", "", "0.000", "soon"} {
		calls = append(calls, Call{Status: 503, RetryAfter: after}, Call{Status: 502, RetryAfter: after})
	}
	g.Expect(refusalViolations(calls)).To(gomega.HaveLen(3))
	const metrics = `# TYPE pearyard_admission_waiting gauge
pearyard_admission_waiting{service="llm"} 2
pearyard_admission_waiting{service="app"} 0
# TYPE pearyard_queue_waits_total counter
pearyard_queue_waits_total 7
`
	g.Expect(heldBy("edge-0", metrics)).To(gomega.ConsistOf(`edge-0: pearyard_admission_waiting{service="llm"} is 2 without callers`))
}
