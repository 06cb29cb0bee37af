package route

import (
	"slices"
	"time"
)

// score returns the load of a candidate relative to its effective capacity,
// including the request to be placed, times the penalty for recent failures.
func (p *pick) score(c *Candidate) float64 {
	return p.base.score(c, p.v.summary.otherRouters.load(), p.now)
}

// bound returns the score up to which a candidate may be picked for a reason other
// than its load. It is somewhat above the mean, but not in the range where
// requests wait for a slot (BoundCeiling), unless all candidates are there. It is
// never below BoundFloor, because spreading the requests of an idle service only
// costs cache hits.
func (p *pick) bound() float64 {
	mean := p.v.summary.score.load()
	t := &p.tuning
	return max(t.BoundFloor, min(t.BoundFactor*mean, max(mean, t.BoundCeiling)))
}

func (b *base) score(c *Candidate, meanOthers float64, now int64) float64 {
	load := b.load(c, meanOthers, now)
	effectiveCapacity := float64(c.Capacity) * b.slowStartFactor(c.Stats, now)
	return (load + 1) / effectiveCapacity * b.penalty(c.Stats, now)
}

// load estimates the requests at c. The router's own are known exactly; those that
// wait for their first token count for more, because an engine queues its
// prefills. The requests of other routers are the reported ones less the own ones
// at the time of the report. As the report ages, the estimate moves to the mean of
// all candidates. It does not decay to zero: a candidate that stopped reporting
// would look idle and attract all requests.
func (b *base) load(c *Candidate, meanOthers float64, now int64) float64 {
	s := c.Stats
	own := float64(s.inFlight.Load())
	waiting := b.tuning.WaitWeight * float64(s.waiting.Load())
	at := s.reportedAt.Load()
	if at == 0 {
		return own + waiting + meanOthers
	}
	weight := b.reportWeight(at, now)
	return own + waiting + weight*s.others() + (1-weight)*meanOthers
}

// others returns the number of requests of other routers at the candidate, as of
// the last report.
func (s *Stats) others() float64 {
	return float64(max(0, s.reported.Load()-s.ownAtReport.Load()))
}

// reportWeight returns the weight of a report, which falls with its age from 1 to
// a half at ReportTau.
func (b *base) reportWeight(at, now int64) float64 {
	age := float64(max(0, now-at))
	tau := float64(b.tuning.ReportTau)
	return tau / (tau + age)
}

// slowStartFactor returns the part of its capacity that a candidate may use at
// present. A process that has just started or returned looks idle to all routers
// at once, and its caches are empty. With its full share it would be flooded, its
// step time would exceed every bound, and a returning zone would be lost again.
func (b *base) slowStartFactor(s *Stats, now int64) float64 {
	started := s.startedAt.Load()
	if started == 0 {
		return 1
	}
	part := float64(max(0, now-started)) / float64(b.tuning.SlowStart)
	return min(1, b.tuning.SlowStartFloor+(1-b.tuning.SlowStartFloor)*part)
}

// maxCountedFailures is the number of consecutive failures above which the penalty
// does not rise further.
const maxCountedFailures = 8

// penalty returns the factor by which recent failures raise a candidate's score.
func (b *base) penalty(s *Stats, now int64) float64 {
	fails := s.failures.Load()
	if fails == 0 || now-s.failedAt.Load() > int64(b.tuning.FailPenalty) {
		return 1
	}
	return float64(1 + min(fails, maxCountedFailures))
}

// refresh updates the view's means, and which candidates are slow, if that is due:
// after Tuning.Renew, or after as many picks as there are candidates. One pick
// does it while concurrent ones use the old values.
func (b *base) refresh(v *View, now int64) {
	picks := v.summary.picks.Add(1)
	if now < v.summary.nextRefresh.Load() && picks < int64(v.Len()) {
		return
	}
	if !v.summary.refreshing.CompareAndSwap(false, true) {
		return
	}
	defer v.summary.refreshing.Store(false)
	v.summary.nextRefresh.Store(now + int64(b.tuning.Renew))
	v.summary.picks.Store(0)
	b.refreshOthers(v, now)
	b.refreshSlow(v)
	b.refreshScore(v, now)
}

// refreshOthers updates the mean number of requests of other routers, weighted by
// the age of the reports.
func (b *base) refreshOthers(v *View, now int64) {
	var sum, weights float64
	for _, c := range v.candidates {
		at := c.Stats.reportedAt.Load()
		if at == 0 {
			continue
		}
		weight := b.reportWeight(at, now)
		sum += weight * c.Stats.others()
		weights += weight
	}
	if weights > 0 {
		v.summary.otherRouters.store(sum / weights)
	}
}

// refreshScore updates the mean score of the candidates that are not slow, without
// the penalty for failures.
func (b *base) refreshScore(v *View, now int64) {
	others := v.summary.otherRouters.load()
	var load, effectiveCapacity float64
	for _, c := range v.candidates {
		if c.Stats.slow.Load() {
			continue
		}
		load += b.load(c, others, now) + 1
		effectiveCapacity += float64(c.Capacity) * b.slowStartFactor(c.Stats, now)
	}
	if effectiveCapacity > 0 {
		v.summary.score.store(load / effectiveCapacity)
	}
}

// slowExitFactor times SlowFactor is the limit below which a slow candidate counts
// as normal again; the hysteresis keeps the state from flapping.
const slowExitFactor = 0.6

// minMedianSamples is the minimum number of step times for a usable median.
const minMedianSamples = 3

// refreshSlow compares each candidate's step time with the median. A backend
// server that is alive and answers probes but is ten times slower is detected by
// nothing else: it would keep its share of requests and hold each of them ten
// times longer.
func (b *base) refreshSlow(v *View) {
	steps := v.summary.steps[:0]
	for _, c := range v.candidates {
		if step := c.Stats.step.load(); step > 0 {
			steps = append(steps, int64(step))
		}
	}
	if len(steps) < minMedianSamples {
		return
	}
	slices.Sort(steps)
	median := steps[len(steps)/2]
	v.summary.median.Store(median)
	var slow int64
	for _, c := range v.candidates {
		if b.updateSlow(c, float64(median)) {
			slow++
		}
	}
	v.summary.slow.Store(slow)
	b.metrics.slow.Set(float64(slow))
}

// updateSlow decides whether c is slow, emits an event if that has changed, and
// reports whether c is slow. A candidate without step times is not.
func (b *base) updateSlow(c *Candidate, median float64) bool {
	step := c.Stats.step.load()
	limit := b.tuning.SlowFactor * median
	wasSlow := c.Stats.slow.Load()
	if wasSlow {
		limit *= slowExitFactor
	}
	isSlow := step > limit
	if isSlow == wasSlow {
		return isSlow
	}
	c.Stats.slow.Store(isSlow)
	kind := EventSlow
	if !isSlow {
		kind = EventSlowEnded
	}
	b.recorder.Emit(kind, "backend_server", c.ID, "zone", c.Zone,
		"step", micros(step).Round(time.Microsecond), "median", micros(median))
	return isSlow
}
