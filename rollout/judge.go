package rollout

import "math"

// Verdict is a judgement of the new version.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota // nothing speaks strongly against the version
	Bad                      // it fails or is slow significantly more often
)

const (
	// badMargin is by how much the share of failed or slow answers grows with a bad
	// version, at least: a version is bad for a considerable part of its answers.
	badMargin = 0.25
	// badAtOnce is the log likelihood ratio at which a version is judged bad at any time.
	// One test errs with a probability below 1/20000; up to a dozen run per roll-out.
	badAtOnce = 10.0
	// badAtEnd is the log likelihood ratio above which a version is not completed when the
	// time is up. Two failures in a handful of answers stay below it.
	badAtEnd = 5.0
	// newestMargin is by how much the ratio of the newest windows must be larger than that of all:
	// there are several beginnings, and each may happen to be a bad one.
	newestMargin = 3.0
	// minAnswered is the number of answers without which a version is not completed: nothing
	// shows that it works.
	minAnswered = 5
	// minRate is the least share of failed or slow answers that is assumed of the
	// established versions, as theirs is estimated from few samples.
	minRate = 0.02
	// usualWeight is the number of answers as which the usual share counts in a window.
	usualWeight = 5.0
	// minCompared is the number of durations of the established versions from which on it is
	// known what is usual.
	minCompared = 30
	// slowQuantile of the established versions' durations lies below the bucket from which
	// on an answer counts as slow.
	slowQuantile = 0.95
)

// Judge judges the new version by what has been observed so far. It may be called after each
// new observation.
func Judge(h History) Verdict {
	if suspicion(h.Windows) >= badAtOnce || h.Trends.value(minTrendFailures) >= trendAtOnce {
		return Bad
	}
	return Undecided
}

// JudgeFinally judges the new version when no more time is left to observe it.
func JudgeFinally(h History) Verdict {
	if sum(h.Windows).total().New.answered() < minAnswered || suspicion(h.Windows) >= badAtEnd || h.Trends.value(minFailuresAtEnd) >= trendAtEnd {
		return Bad
	}
	return Undecided
}

func sum(windows []Evidence) Evidence {
	all := Evidence{}
	for _, e := range windows {
		all.Merge(e)
	}
	return all
}

// suspicion returns how strongly the evidence speaks for "bad" against "as good as the
// established versions", as a log likelihood ratio: over all windows, and for slowness also from
// the beginning of any window on, as the version may have turned slow then. For failures the
// trends see that.
//
// It must do so both over all of the time and window by window. The former misleads when
// all versions got worse while the new one got more requests, the latter when a few
// answers of a window happened to be bad.
func suspicion(windows []Evidence) float64 {
	all := sum(windows)
	most := min(largestRatio(all, windows, ratios.most), largestRatio(all, []Evidence{all}, ratios.most))
	for from := 1; from < len(windows); from++ {
		newest := windows[from:]
		slow := min(largestRatio(all, newest, ratios.slowness), largestRatio(all, []Evidence{sum(newest)}, ratios.slowness))
		most = max(most, slow-newestMargin)
	}
	return most
}

// largestRatio returns the largest log likelihood ratio of a kind over all routes. Each route
// counts by itself, since a version may be bad on one of them only.
//
// The established versions are observed in the same window on the same routes: a burst,
// lying health checks or lost answers show there too. What is usual is taken from all windows.
func largestRatio(all Evidence, windows []Evidence, kind func(ratios) float64) float64 {
	most := kind(ratiosOf(all.total(), totals(windows)))
	for route, c := range all {
		most = max(most, kind(ratiosOf(c, ofRoute(windows, route))))
	}
	return most
}

// ratios are the log likelihood ratios of one comparison.
type ratios struct{ failures, first, pace float64 }

func (r ratios) slowness() float64 { return max(r.first, r.pace) }

func (r ratios) most() float64 { return max(r.failures, r.slowness()) }

func totals(windows []Evidence) []*Comparison {
	var list []*Comparison
	for _, e := range windows {
		list = append(list, e.total())
	}
	return list
}

func ofRoute(windows []Evidence, route uint32) []*Comparison {
	var list []*Comparison
	for _, e := range windows {
		if c := e[route]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

// ratiosOf sums up windows of one comparison. all is the comparison over all of the time.
func ratiosOf(all *Comparison, windows []*Comparison) ratios {
	usualFailures := share(all.Established.Failed, all.Established.decided(), minRate)
	usualFirst, usualPace := usualDuration(&all.Established.First), usualDuration(&all.Established.Pace)
	var r ratios
	for _, c := range windows {
		r.failures += ratio(c.Established.Failed, c.Established.decided(), c.New.Failed, c.New.decided(), usualFailures)
		r.first += slowness(usualFirst, &c.Established.First, &c.New.First, &c.Established.Pending, &c.New.Pending)
		r.pace += slowness(usualPace, &c.Established.Pace, &c.New.Pace, &Histogram{}, &Histogram{})
	}
	return r
}

// usualDuration returns the bucket above nearly all durations of the established versions,
// the number of buckets if too few are known.
func usualDuration(established *Histogram) int {
	all := established.from(0)
	if all < minCompared {
		return histogramBuckets
	}
	slow := 0
	for slow < histogramBuckets && float64(established.from(slow)) > (1-slowQuantile)*float64(all) {
		slow++
	}
	return slow
}

// slowness compares the shares of durations from a bucket on. Pending attempts count once
// they have lasted as long.
func slowness(slow int, established, new, establishedPending, newPending *Histogram) float64 {
	if slow == histogramBuckets {
		return 0
	}
	overdue, newOverdue := establishedPending.from(slow), newPending.from(slow)
	return ratio(established.from(slow)+overdue, established.from(0)+overdue, new.from(slow)+newOverdue, new.from(0)+newOverdue, 1-slowQuantile)
}

// ratio returns the log likelihood ratio of two assumptions on the new version, given how
// many of its n1 answers are bad: that the share is badMargin higher than the established
// versions' (bad0 of n0), or the same. With few answers, the established versions' share
// is close to the usual one.
func ratio(bad0, n0, bad1, n1 uint32, usual float64) float64 {
	same := share(bad0, n0, usual)
	higher := same + badMargin*(1-same)
	return float64(bad1)*math.Log(higher/same) + float64(n1-min(n1, bad1))*math.Log((1-higher)/(1-same))
}

// share estimates the share of bad answers from few ones and a usual share, which counts
// as usualWeight answers.
func share(bad, n uint32, usual float64) float64 {
	return max(minRate, (float64(bad)+usualWeight*usual)/(float64(n)+usualWeight))
}
