package rollout

import (
	"math"
	"time"
)

const (
	// trendInterval is the length of the intervals that a trend compares. It is short against
	// the time in which a bad version must stop getting requests.
	trendInterval = 500 * time.Millisecond
	// maxTrendStep bounds what one interval adds to a trend, as a log likelihood ratio: the
	// failures of an interval may have one cause, such as the end of a server.
	maxTrendStep = 2.5
	// trendAtOnce is the value at which a version is judged bad at any time, and
	// minTrendFailures the number of its failures that this takes. By chance a trend reaches
	// it from zero with a probability below e^-12.
	trendAtOnce      = 12.0
	minTrendFailures = 8
	// trendAtEnd is the value from which on a version is not completed when the time is up, and
	// minFailuresAtEnd the number of its failures that this takes.
	trendAtEnd       = 8.0
	minFailuresAtEnd = 3
)

// rateRatios are the assumptions on how many times more often than the established versions a
// bad one fails. The nearest one decides; a ratio between two of them loses little.
var rateRatios = [...]float64{1.5, 2, 4, 16, 64}

// trend is how strongly the newest answers speak for a version that fails more often than the
// established ones: a cumulative sum (CUSUM) of log likelihood ratios that never falls below
// zero, so that what the version did well before it turned bad doesn't hide its failures.
//
// In each interval the sum of all versions' failures is taken as given, and the ratio says how
// they fall to the versions. So it needs no assumption on the usual rate, which may change with
// time: a burst or broken connections show in all versions.
type trend struct {
	sums     [len(rateRatios)]float64
	failures [len(rateRatios)]uint32 // of the new version since the sum was zero
}

// add adds the answers of one interval.
func (t *trend) add(c *Comparison) {
	failed0, n0, failed1, n1 := c.Established.Failed, c.Established.begun(), c.New.Failed, c.New.begun()
	if n0 == 0 || n1 == 0 || failed0+failed1 == 0 {
		return
	}
	same := float64(n1) / float64(n0+n1)
	for i, ratio := range rateRatios {
		higher := ratio * same / (ratio*same + 1 - same)
		step := float64(failed1)*math.Log(higher/same) + float64(failed0)*math.Log((1-higher)/(1-same))
		t.sums[i] += min(step, maxTrendStep)
		t.failures[i] += failed1
		if t.sums[i] <= 0 {
			t.sums[i], t.failures[i] = 0, 0
		}
	}
}

// value returns the largest sum with at least that many failures.
func (t *trend) value(minFailures uint32) float64 {
	most := 0.0
	for i, sum := range t.sums {
		if t.failures[i] >= minFailures {
			most = max(most, sum)
		}
	}
	return most
}

// Trends are the trends of a roll-out's failures on each route and over all of them.
type Trends struct {
	routes map[uint32]*trend
	total  trend
	before Evidence  // counts at the end of the last interval
	begun  time.Time // of the current interval; zero: none has begun
}

// observe takes the cumulative counts.
func (t *Trends) observe(counts Evidence, now time.Time) {
	if t.begun.IsZero() {
		t.begun = now
	}
	if now.Sub(t.begun) < trendInterval {
		return
	}
	interval := counts.since(t.before)
	t.before, t.begun = counts, now
	if t.routes == nil {
		t.routes = map[uint32]*trend{}
	}
	for route, c := range interval {
		if t.routes[route] == nil {
			t.routes[route] = &trend{}
		}
		t.routes[route].add(c)
	}
	t.total.add(interval.total())
}

// value returns the largest value of all trends.
func (t *Trends) value(minFailures uint32) float64 {
	most := t.total.value(minFailures)
	for _, route := range t.routes {
		most = max(most, route.value(minFailures))
	}
	return most
}
