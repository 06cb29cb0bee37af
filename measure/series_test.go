package measure

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/types"
)

func TestQuantilesAndSpread(t *testing.T) {
	g := NewWithT(t)
	var durations []time.Duration
	for i := range 1000 {
		durations = append(durations, time.Duration(i+1)*time.Millisecond)
	}
	q := quantilesOf(durations)
	g.Expect(q.Count).To(BeEquivalentTo(1000))
	g.Expect(q.P50).To(BeNumerically("~", 500, 1))
	g.Expect(q.P95).To(BeNumerically("~", 950, 1))
	g.Expect(q.P99).To(BeNumerically("~", 990, 1))
	g.Expect(quantilesOf(nil)).To(Equal(Quantiles{}))
	g.Expect(spreadOf([]float64{3, 1, 9, 2, 4})).To(Equal(Spread{Median: 3, Min: 1, Max: 9}))
}

// Guards against counting an affected caller as unaffected, or one of another engine as
// affected, which makes the latency of a loss look better than it is. A resume shows as
// another attempt after the loss, a reconnection as an interruption between two tokens.
func TestResumptionAfterFindsAffectedCalls(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	token := func(ms int, attempt types.AttemptTag) arrival { return arrival{at: at(ms), attempt: attempt} }
	lost := at(100)

	unaffected := call{arrivals: []arrival{token(90, 1), token(190, 1)}}
	_, hit := unaffected.resumptionAfter(lost)
	g.Expect(hit).To(BeFalse())

	resumed := call{arrivals: []arrival{token(80, 1), token(90, 1), token(150, 2)}}
	got, hit := resumed.resumptionAfter(lost)
	g.Expect(hit).To(BeTrue())
	g.Expect(got).To(Equal(resumption{afterLoss: 50 * time.Millisecond, pause: 60 * time.Millisecond, index: 2, newAttempt: true, regained: 50 * time.Millisecond}))

	reconnected := call{arrivals: []arrival{token(90, 1), token(160, 1)}, interruptions: []interruption{{at: at(120), received: 1}}}
	got, hit = reconnected.resumptionAfter(lost)
	g.Expect(hit).To(BeTrue())
	g.Expect(got.afterReconnect).To(Equal(40 * time.Millisecond))
}

// Guards against missing a process that goes back to an older revision, and against
// counting a configuration that one process never got as in force everywhere.
func TestSummarizeConfig(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	accepted := map[uint64]time.Time{2: at(0), 3: at(100)}
	samples := []revisionSample{{0, 1, at(0)}, {0, 2, at(50)}, {0, 3, at(150)}, {0, 2, at(200)}, {1, 1, at(0)}, {1, 2, at(80)}}
	got := summarizeConfig(accepted, samples, 2)
	g.Expect(got.WentBack).To(Equal(1))
	g.Expect(got.NotEverywhere).To(Equal(1))
	g.Expect(got.InForce.Max).To(BeNumerically("~", 80, 0.1))
}
