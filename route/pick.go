package route

import "slices"

// pick is the state of one Policy.Pick call. It stays on the stack.
type pick struct {
	*base
	q   *Query
	v   *View
	now int64 // Unix nanoseconds
}

func (b *base) begin(q *Query, v *View) pick {
	now := b.now().UnixNano()
	b.refresh(v, now)
	return pick{base: b, q: q, v: v, now: now}
}

// pickSpecial handles what all policies have in common: suspect requests and
// probes.
func (p *pick) pickSpecial() *Candidate {
	if p.q.Suspect {
		return p.count(p.pickForSuspect(), reasonSuspect)
	}
	return p.count(p.pickProbe(), reasonProbe)
}

// selector is how to select among candidates by load. It is a value and not a
// function, because a pick passed to a function value would escape to the heap.
type selector int

const (
	selectLeastLoaded selector = iota
	selectBetterOfTwo
)

func (p *pick) selectFrom(sel selector, pool []*Candidate) *Candidate {
	if sel == selectBetterOfTwo {
		return p.betterOfTwo(pool)
	}
	return p.leastLoaded(pool)
}

// pickZoneFirst selects from the router's own zone. If that gives no candidate, or
// one above the bound, it also selects from the whole view and picks the one with
// the lower score.
func (p *pick) pickZoneFirst(sel selector) *Candidate {
	local := p.v.zones[p.q.Zone]
	c := p.selectFrom(sel, local)
	if c != nil && p.score(c) <= p.bound() {
		return p.count(c, reasonZone)
	}
	if len(local) == p.v.Len() {
		return p.count(c, reasonLoad)
	}
	other := p.selectFrom(sel, p.v.candidates)
	if c == nil || other != nil && p.score(other) < p.score(c) {
		c = other
	}
	return p.count(c, reasonLoad)
}

// orLastResort returns c. If c is nil, because all candidates outside Query.Avoid
// are slow, it returns the slow one with the lowest score.
func (p *pick) orLastResort(c *Candidate) (*Candidate, bool) {
	if c != nil {
		return c, true
	}
	for _, other := range p.v.candidates {
		if !p.avoided(other) && (c == nil || p.score(other) < p.score(c)) {
			c = other
		}
	}
	if c == nil {
		p.metrics.noCandidate.Inc()
		return nil, false
	}
	return p.count(c, reasonLastResort), true
}

func (p *pick) avoided(c *Candidate) bool {
	return len(p.q.Avoid) > 0 && slices.Contains(p.q.Avoid, c.ID)
}

// usable reports whether c may be picked other than as a probe, for a suspect or
// as a last resort.
func (p *pick) usable(c *Candidate) bool { return !c.Stats.slow.Load() && !p.avoided(c) }

// leastLoaded returns the usable candidate with the lowest score. Among equals the
// first one after a random position wins, so that routers do not all pick the
// same.
func (p *pick) leastLoaded(pool []*Candidate) *Candidate {
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

// maxPairDraws limits the random draws in search of two usable candidates.
const maxPairDraws = 8

// betterOfTwo returns the less loaded of two randomly drawn usable candidates. If
// the draws do not find two, it returns the least loaded candidate of the pool.
func (p *pick) betterOfTwo(pool []*Candidate) *Candidate {
	if len(pool) == 0 {
		return nil
	}
	var first *Candidate
	for range maxPairDraws {
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
	return p.leastLoaded(pool)
}

// sampleSize is the number of candidates that leastOfSample compares.
const sampleSize = 4

// leastOfSample returns the least loaded of a few randomly drawn usable
// candidates. Routers that all pick the least loaded of all candidates pick the
// same one until the next reports; the more routers, the longer the queue that
// builds up there.
func (p *pick) leastOfSample(pool []*Candidate) *Candidate {
	if len(pool) <= sampleSize {
		return p.leastLoaded(pool)
	}
	var best *Candidate
	var bestScore float64
	for range sampleSize {
		c := pool[p.rand()%uint64(len(pool))]
		if !p.usable(c) {
			continue
		}
		if score := p.score(c); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		return p.leastLoaded(pool)
	}
	return best
}

// pickForSuspect returns the candidate where the crash of an engine would affect
// the fewest requests: one without other suspect requests and with a low score. It
// may be a slow one.
func (p *pick) pickForSuspect() *Candidate {
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

// pickProbe returns a slow candidate that is due for a probe. Without probes a
// recovered candidate would stay avoided, since only requests measure its step
// time. A candidate that still has requests is being measured and needs no probe,
// which would only be delayed there.
func (p *pick) pickProbe() *Candidate {
	slow := p.v.summary.slow.Load()
	if slow == 0 || p.q.Long {
		return nil
	}
	due := p.v.summary.nextProbe.Load()
	next := p.now + int64(p.tuning.ProbeEvery)/slow
	if p.now < due || !p.v.summary.nextProbe.CompareAndSwap(due, next) {
		return nil
	}
	skip := int64(p.v.summary.probeCount.Add(1)) % slow
	for _, c := range p.v.candidates {
		if !c.Stats.slow.Load() {
			continue
		}
		if skip == 0 && p.idle(c) && !p.avoided(c) {
			return c
		}
		skip--
	}
	return nil
}

func (p *pick) idle(c *Candidate) bool {
	return c.Stats.inFlight.Load() == 0 && c.Stats.reported.Load() == 0
}

// count counts the pick of c under its reason and returns c, which may be nil.
func (p *pick) count(c *Candidate, r reason) *Candidate {
	if c != nil {
		p.metrics.picks[r].Inc()
	}
	return c
}

// wrap returns i modulo n, for i less than 2n.
func wrap(i, n int) int {
	if i >= n {
		return i - n
	}
	return i
}
