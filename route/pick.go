package route

import "slices"

// pick is the work on one request. It lives on the stack of Policy.Pick.
type pick struct {
	*base
	q   *Query
	v   *View
	now int64 // Unix nanoseconds
}

func (b *base) begin(q *Query, v *View) pick {
	now := b.now().UnixNano()
	b.renew(v, now)
	return pick{base: b, q: q, v: v, now: now}
}

// special handles what all policies do alike: suspects and probes.
func (p *pick) special() *Candidate {
	if p.q.Suspect {
		return p.count(p.quietest(), reasonSuspect)
	}
	return p.count(p.probe(), reasonProbe)
}

// rule is how to choose among candidates by load. It's a value and not a
// function, because a pick handed to an unknown function would move to the heap.
type rule int

const (
	byLeast rule = iota
	byTwo
)

func (p *pick) choose(r rule, pool []*Candidate) *Candidate {
	if r == byTwo {
		return p.lesserOfTwo(pool)
	}
	return p.least(pool)
}

// zoned chooses from the router's own zone, and from the whole view if that
// gives nothing or only a candidate over the bound.
func (p *pick) zoned(r rule) *Candidate {
	local := p.v.zones[p.q.Zone]
	c := p.choose(r, local)
	if c != nil && p.score(c) <= p.bound() {
		return p.count(c, reasonZone)
	}
	if len(local) == p.v.Len() {
		return p.count(c, reasonLoad)
	}
	other := p.choose(r, p.v.candidates)
	if c == nil || other != nil && p.score(other) < p.score(c) {
		c = other
	}
	return p.count(c, reasonLoad)
}

// finish falls back to a slow candidate where there is no other.
func (p *pick) finish(c *Candidate) (*Candidate, bool) {
	if c != nil {
		return c, true
	}
	for _, other := range p.v.candidates {
		if !p.avoided(other) && (c == nil || p.score(other) < p.score(c)) {
			c = other
		}
	}
	if c == nil {
		p.metrics.none.Inc()
		return nil, false
	}
	return p.count(c, reasonLast), true
}

func (p *pick) avoided(c *Candidate) bool {
	return len(p.q.Avoid) > 0 && slices.Contains(p.q.Avoid, c.ID)
}

// usable tells whether c may be picked in the ordinary way.
func (p *pick) usable(c *Candidate) bool { return !c.Stats.slow.Load() && !p.avoided(c) }

// least returns the usable candidate with the least score. Among equals the
// first after a random place wins, so that routers don't all take the same.
func (p *pick) least(pool []*Candidate) *Candidate {
	if len(pool) == 0 {
		return nil
	}
	var best *Candidate
	var bestScore float64
	offset := int(p.rand() % uint64(len(pool)))
	for i := range pool {
		c := pool[wrap(offset+i, len(pool))]
		if !p.usable(c) {
			continue
		}
		if score := p.score(c); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// twoDraws bounds the search for two usable candidates by chance.
const twoDraws = 8

// lesserOfTwo returns the better one of two usable candidates drawn by chance.
func (p *pick) lesserOfTwo(pool []*Candidate) *Candidate {
	if len(pool) == 0 {
		return nil
	}
	var first *Candidate
	for range twoDraws {
		c := pool[p.rand()%uint64(len(pool))]
		if !p.usable(c) || c == first {
			continue
		}
		if first == nil {
			first = c
			continue
		}
		if p.score(c) < p.score(first) {
			return c
		}
		return first
	}
	return p.least(pool)
}

// fewDraws is how many candidates leastOfFew compares.
const fewDraws = 4

// leastOfFew returns the best one of a few usable candidates drawn by chance.
// Routers that all take the very least loaded one take the same one until the
// next reports; the more routers, the longer the queue that they build there.
func (p *pick) leastOfFew(pool []*Candidate) *Candidate {
	if len(pool) <= fewDraws {
		return p.least(pool)
	}
	var best *Candidate
	var bestScore float64
	for range fewDraws {
		c := pool[p.rand()%uint64(len(pool))]
		if !p.usable(c) {
			continue
		}
		if score := p.score(c); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		return p.least(pool)
	}
	return best
}

// quietest returns the candidate on which the crash of an engine would hurt
// least: no other suspect on it, and few requests. A suspect may take a slow one.
func (p *pick) quietest() *Candidate {
	var best *Candidate
	var bestSuspects int64
	var bestScore float64
	for _, c := range p.v.candidates {
		if p.avoided(c) {
			continue
		}
		suspects, score := c.Stats.suspects.Load(), p.score(c)
		if best == nil || suspects < bestSuspects || suspects == bestSuspects && score < bestScore {
			best, bestSuspects, bestScore = c, suspects, score
		}
	}
	return best
}

// probe returns a slow candidate whose turn it is. Without this trickle a
// candidate that is fast again would stay avoided: its step time is only
// measured by requests. One that still has requests is being measured, and
// needs no probe; more would only be held up there.
func (p *pick) probe() *Candidate {
	slow := p.v.sum.slow.Load()
	if slow == 0 || p.q.Long {
		return nil
	}
	due := p.v.sum.nextProbe.Load()
	next := p.now + int64(p.tuning.ProbeEvery)/slow
	if p.now < due || !p.v.sum.nextProbe.CompareAndSwap(due, next) {
		return nil
	}
	turn := int64(p.v.sum.probed.Add(1)) % slow
	for _, c := range p.v.candidates {
		if !c.Stats.slow.Load() {
			continue
		}
		if turn == 0 && p.idle(c) && !p.avoided(c) {
			return c
		}
		turn--
	}
	return nil
}

func (p *pick) idle(c *Candidate) bool {
	return c.Stats.inFlight.Load() == 0 && c.Stats.reported.Load() == 0
}

func (p *pick) count(c *Candidate, r reason) *Candidate {
	if c != nil {
		p.metrics.picks[r].Inc()
	}
	return c
}

func wrap(i, n int) int {
	if i >= n {
		return i - n
	}
	return i
}
