package route

import "github.com/pearyard/pearyard/engine"

// affinity weighs the load of a candidate against the part of the prompt that it
// is believed to hold. The credit for a prefix depends on its absolute length, not
// on its share of the prompt, and never admits a candidate above the bound. For a
// prompt without a known holder, rendezvous hashing of its first block selects a
// candidate on which all routers agree.
type affinity struct {
	base
	prefixes *prefixMap
}

// Pick implements Policy.
func (a *affinity) Pick(q *Query, v *View) (*Candidate, bool) {
	p := a.begin(q, v)
	if c := p.pickSpecial(); c != nil {
		return c, true
	}
	if len(q.Blocks) == 0 {
		return p.orLastResort(p.pickZoneFirst(selectBetterOfTwo))
	}
	holder, cost := a.bestHolder(&p)
	if holder == nil {
		if home := a.home(&p); home != nil {
			return p.orLastResort(p.count(home, reasonHome))
		}
	}
	candidate := p.leastOfSample(a.pool(&p))
	if holder != nil && (candidate == nil || cost <= p.score(candidate)) {
		return p.orLastResort(p.count(holder, reasonHolder))
	}
	if candidate != nil && p.score(candidate) <= p.bound() {
		return p.orLastResort(p.count(candidate, reasonLoad))
	}
	return p.orLastResort(p.pickZoneFirst(selectLeastLoaded))
}

// pool returns the candidates to choose from where no holder is picked: those of
// the router's own zone with Tuning.ZoneFirst, otherwise all.
func (a *affinity) pool(p *pick) []*Candidate {
	if local := p.v.zones[p.q.Zone]; a.tuning.ZoneFirst && len(local) > 0 {
		return local
	}
	return p.v.candidates
}

// bestHolder returns the candidate within the bound that minimises score less
// prefix credit, and that difference.
func (a *affinity) bestHolder(p *pick) (*Candidate, float64) {
	bound := p.bound()
	oldest := a.oldestStamp(p.now)
	var handles [ways]uint32
	var best *Candidate
	var bestCost float64
	for n := len(p.q.Blocks); n > 0; n-- {
		found := a.prefixes.holders(p.q.Blocks[n-1], oldest, &handles)
		c, score := a.betterHolder(p, handles[:found], bound)
		if c == nil {
			continue
		}
		cost := score - a.tuning.PrefixCredit*float64(depthInFineBlocks(n))
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost
}

// holderDraws is the number of holders of one block that are compared.
const holderDraws = 2

// betterHolder returns the less loaded of two randomly drawn holders, if it is
// within the bound. It does not compare all holders, for the reason given at
// leastOfSample.
func (a *affinity) betterHolder(p *pick, handles []uint32, bound float64) (*Candidate, float64) {
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

// home returns the first candidate within the bound in the rendezvous order of the
// prompt's first block.
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

// Learn implements Learner. The recorded depth of a prompt grows with the depth
// already known: a shared prefix is recorded completely after a few requests,
// while a unique tail does not evict other entries.
func (a *affinity) Learn(c *Candidate, blocks []uint64) {
	now := a.now().UnixNano()
	known := a.knownDepth(blocks, a.oldestStamp(now))
	for _, block := range blocks[:min(len(blocks), 2*known+initialDepth)] {
		a.prefixes.put(block, c.handle, stampOf(now))
	}
}

// initialDepth is the number of blocks recorded of an unknown prompt.
const initialDepth = 8

// knownDepth returns the number of leading blocks up to the last one that has a
// known holder.
func (a *affinity) knownDepth(blocks []uint64, oldest uint32) int {
	for i := len(blocks); i > 0; i-- {
		if a.prefixes.has(blocks[i-1], oldest) {
			return i
		}
	}
	return 0
}

// CacheEvents implements Learner. Events only correct what the router has learned
// from its own requests: a stored block is recorded if the map has the block, and
// an eviction applies if the entry is older than the lag of events. A lost event
// leaves a wrong entry until PrefixTTL, at the cost of one prefill.
func (a *affinity) CacheEvents(c *Candidate, events []engine.CacheEvent) {
	now := a.now().UnixNano()
	oldest := a.oldestStamp(now)
	for _, e := range events {
		c.Stats.recordSequence(e.Sequence)
		switch {
		case e.Evicted:
			a.prefixes.drop(e.Block, c.handle, stampOf(now-int64(a.tuning.EventLag)))
		case a.prefixes.has(e.Block, oldest):
			a.prefixes.put(e.Block, c.handle, stampOf(now))
		}
	}
}

// oldestStamp returns the stamp before which entries have expired.
func (a *affinity) oldestStamp(now int64) uint32 { return stampOf(now - int64(a.tuning.PrefixTTL)) }
