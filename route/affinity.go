package route

import "github.com/pearyard/pearyard/engine"

// affinity weighs the load of a candidate against the part of the prompt that
// it is believed to hold. The credit for a prefix is absolute, by its length,
// not by its share of the prompt; and no credit lifts a candidate over the
// bound. For a prompt whose prefix nobody is known to hold, rendezvous hashing
// of its first block names a candidate on which all routers agree.
type affinity struct {
	base
	prefixes *prefixMap
}

// Pick implements Policy.
func (a *affinity) Pick(q *Query, v *View) (*Candidate, bool) {
	p := a.begin(q, v)
	if c := p.special(); c != nil {
		return c, true
	}
	if len(q.Blocks) == 0 {
		return p.finish(p.zoned(byTwo))
	}
	held, cost := a.holder(&p)
	if held == nil {
		if home := a.home(&p); home != nil {
			return p.finish(p.count(home, reasonHome))
		}
	}
	free := p.leastOfFew(a.pool(&p))
	if held != nil && (free == nil || cost <= p.score(free)) {
		return p.finish(p.count(held, reasonHolder))
	}
	if free != nil && p.score(free) <= p.bound() {
		return p.finish(p.count(free, reasonLoad))
	}
	return p.finish(p.zoned(byLeast))
}

// pool is where a prompt without a holder goes.
func (a *affinity) pool(p *pick) []*Candidate {
	if local := p.v.zones[p.q.Zone]; a.tuning.ZoneFirst && len(local) > 0 {
		return local
	}
	return p.v.candidates
}

// holder returns the candidate within the bound whose score less the credit for
// what it holds is least, and that difference.
func (a *affinity) holder(p *pick) (*Candidate, float64) {
	bound := p.bound()
	oldest := a.oldest(p.now)
	var handles [ways]uint32
	var best *Candidate
	var bestCost float64
	for n := len(p.q.Blocks); n > 0; n-- {
		found := a.prefixes.holders(p.q.Blocks[n-1], oldest, &handles)
		c, score := a.leastOf(p, handles[:found], bound)
		if c == nil {
			continue
		}
		cost := score - a.tuning.PrefixCredit*float64(depth(n))
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost
}

// holderDraws is how many holders of one block are compared.
const holderDraws = 2

// leastOf returns the less loaded one of two of the named candidates, drawn by
// chance, if it is within the bound. It isn't the least loaded of all, for the
// reason given at leastOfFew.
func (a *affinity) leastOf(p *pick, handles []uint32, bound float64) (*Candidate, float64) {
	for len(handles) > holderDraws {
		i := int(p.rand() % uint64(len(handles)))
		last := len(handles) - 1
		handles[i] = handles[last]
		handles = handles[:last]
	}
	var best *Candidate
	for _, handle := range handles {
		c, ok := p.v.handles[handle]
		if !ok || !p.usable(c) {
			continue
		}
		if score := p.score(c); score <= bound {
			best, bound = c, score
		}
	}
	return best, bound
}

// home returns the first candidate within the bound in the rendezvous order of
// the prompt's first block.
func (a *affinity) home(p *pick) *Candidate {
	bound := p.bound()
	var best *Candidate
	var bestRank uint64
	for _, c := range a.pool(p) {
		rank := mix(c.hash ^ p.q.Blocks[0])
		if best != nil && rank <= bestRank {
			continue
		}
		if p.usable(c) && p.score(c) <= bound {
			best, bestRank = c, rank
		}
	}
	return best
}

// Learn implements Learner. The depth to which a prompt is noted grows with
// the depth at which it was known before: a prefix that is shared is noted
// whole after a few requests, a unique tail doesn't push others out of the map.
func (a *affinity) Learn(c *Candidate, blocks []uint64) {
	now := a.now().UnixNano()
	known := a.known(blocks, a.oldest(now))
	for _, block := range blocks[:min(len(blocks), 2*known+firstLearnt)] {
		a.prefixes.put(block, c.handle, stampOf(now))
	}
}

// firstLearnt is the number of blocks noted of a prompt not seen before.
const firstLearnt = 8

func (a *affinity) known(blocks []uint64, oldest uint32) int {
	for i := len(blocks); i > 0; i-- {
		if a.prefixes.has(blocks[i-1], oldest) {
			return i
		}
	}
	return 0
}

// CacheEvents implements Learner. Events only correct what the router has
// learnt by its own requests: a stored block counts if the map knows the block,
// an eviction if the entry is older than the lag of events. Lost events leave
// an entry that is wrong until PrefixTTL; the price is one prefill.
func (a *affinity) CacheEvents(c *Candidate, events []engine.CacheEvent) {
	now := a.now().UnixNano()
	oldest := a.oldest(now)
	for _, e := range events {
		c.Stats.sequence(e.Sequence)
		switch {
		case e.Evicted:
			a.prefixes.drop(e.Block, c.handle, stampOf(now-int64(a.tuning.EventLag)))
		case a.prefixes.has(e.Block, oldest):
			a.prefixes.put(e.Block, c.handle, stampOf(now))
		}
	}
}

func (a *affinity) oldest(now int64) uint32 { return stampOf(now - int64(a.tuning.PrefixTTL)) }
