package route

import (
	"slices"
	"time"
)

// score is the load of a candidate in parts of what it can take at present,
// with the request in question counted in.
func (p *pick) score(c *Candidate) float64 {
	return p.base.score(c, p.v.sum.others.load(), p.now)
}

// bound is the score up to which a candidate may be chosen for another reason
// than its load: somewhat over the mean, but not into the region where requests
// wait for a slot (BoundCeiling), unless all are there; and always up to
// BoundFloor, because spreading an idle service only costs cache hits.
func (p *pick) bound() float64 {
	mean := p.v.sum.score.load()
	t := &p.tuning
	return max(t.BoundFloor, min(t.BoundFactor*mean, max(mean, t.BoundCeiling)))
}

func (b *base) score(c *Candidate, meanOthers float64, now int64) float64 {
	load := b.load(c, meanOthers, now)
	share := float64(c.Capacity) * b.ramp(c.Stats, now)
	return (load + 1) / share * b.penalty(c.Stats, now)
}

// load estimates the requests at c. The router's own are known to the request;
// those that wait for their first token count for more, because prefills of
// one engine stand in line. What other routers have there is the report less
// the own part in it; as the report ages, the estimate goes over to the mean of
// all candidates. It doesn't go to zero: a candidate that stopped reporting
// would look idle and draw all requests.
func (b *base) load(c *Candidate, meanOthers float64, now int64) float64 {
	s := c.Stats
	own := float64(s.inFlight.Load())
	waiting := b.tuning.WaitWeight * float64(s.waiting.Load())
	at := s.reportedAt.Load()
	if at == 0 {
		return own + waiting + meanOthers
	}
	weight := b.weight(at, now)
	return own + waiting + weight*s.others() + (1-weight)*meanOthers
}

// others is what other routers have at the candidate, as of the last report.
func (s *Stats) others() float64 {
	return float64(max(0, s.reported.Load()-s.ownAtRep.Load()))
}

// weight of a report falls from 1 with its age, to a half at ReportTau.
func (b *base) weight(at, now int64) float64 {
	age := float64(max(0, now-at))
	tau := float64(b.tuning.ReportTau)
	return tau / (tau + age)
}

// ramp is the part of its capacity that a candidate is trusted with. A process
// that has just started or come back looks idle to all routers at once, and
// its caches are empty: with its full share it would be flooded, its step
// time would grow over every bound, and a zone that returns would be lost again.
func (b *base) ramp(s *Stats, now int64) float64 {
	started := s.startedAt.Load()
	if started == 0 {
		return 1
	}
	part := float64(max(0, now-started)) / float64(b.tuning.SlowStart)
	return min(1, b.tuning.SlowStartFloor+(1-b.tuning.SlowStartFloor)*part)
}

// maxCountedFails bounds the penalty of fails.
const maxCountedFails = 8

func (b *base) penalty(s *Stats, now int64) float64 {
	fails := s.fails.Load()
	if fails == 0 || now-s.failedAt.Load() > int64(b.tuning.FailPenalty) {
		return 1
	}
	return float64(1 + min(fails, maxCountedFails))
}

// renew brings the view's means up to date if that is due: after Renew, or
// after as many picks as there are candidates. One pick does it, the others
// go on with the old means.
func (b *base) renew(v *View, now int64) {
	picks := v.sum.picks.Add(1)
	if now < v.sum.due.Load() && picks < int64(v.Len()) {
		return
	}
	if !v.sum.busy.CompareAndSwap(false, true) {
		return
	}
	defer v.sum.busy.Store(false)
	v.sum.due.Store(now + int64(b.tuning.Renew))
	v.sum.picks.Store(0)
	b.renewOthers(v, now)
	b.renewSlow(v)
	b.renewScore(v, now)
}

func (b *base) renewOthers(v *View, now int64) {
	var sum, weights float64
	for _, c := range v.candidates {
		at := c.Stats.reportedAt.Load()
		if at == 0 {
			continue
		}
		weight := b.weight(at, now)
		sum += weight * c.Stats.others()
		weights += weight
	}
	if weights > 0 {
		v.sum.others.store(sum / weights)
	}
}

func (b *base) renewScore(v *View, now int64) {
	others := v.sum.others.load()
	var load, share float64
	for _, c := range v.candidates {
		if c.Stats.slow.Load() {
			continue
		}
		load += b.load(c, others, now) + 1
		share += float64(c.Capacity) * b.ramp(c.Stats, now)
	}
	if share > 0 {
		v.sum.score.store(load / share)
	}
}

// slowLeave times SlowFactor is the bound under which a slow candidate is
// trusted again; the gap keeps it from going to and fro.
const slowLeave = 0.6

// minForMedian is how many step times a median is worth anything from.
const minForMedian = 3

// renewSlow compares each candidate's step time with the median. A backend
// server that is alive and answers probes, but ten times slower, is found by
// nothing else: it would go on to get its share and hold each of its requests
// ten times longer.
func (b *base) renewSlow(v *View) {
	steps := v.sum.steps[:0]
	for _, c := range v.candidates {
		if step := c.Stats.step.load(); step > 0 {
			steps = append(steps, int64(step))
		}
	}
	if len(steps) < minForMedian {
		return
	}
	slices.Sort(steps)
	median := steps[len(steps)/2]
	v.sum.median.Store(median)
	var slow int64
	for _, c := range v.candidates {
		if b.judge(c, float64(median)) {
			slow++
		}
	}
	v.sum.slow.Store(slow)
	b.metrics.slow.Set(float64(slow))
}

func (b *base) judge(c *Candidate, median float64) bool {
	step := c.Stats.step.load()
	limit := b.tuning.SlowFactor * median
	was := c.Stats.slow.Load()
	if was {
		limit *= slowLeave
	}
	is := step > limit
	if is == was {
		return is
	}
	c.Stats.slow.Store(is)
	kind := EventSlow
	if !is {
		kind = EventSlowEnded
	}
	b.recorder.Emit(kind, "backend_server", c.ID, "zone", c.Zone,
		"step", micros(step).Round(time.Microsecond), "median", micros(median))
	return is
}
