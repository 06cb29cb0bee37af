package route

import "github.com/pearyard/pearyard/engine"

// affinity sends a prompt to where its prefix is cached, as long as that
// candidate's load stays within the bound. The prefix map says where it is
// believed to be; for a prefix that the map doesn't know, rendezvous hashing
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
		return p.finish(p.zoned((*pick).lesserOfTwo))
	}
	if c := a.holder(&p); c != nil {
		return p.finish(p.count(c, reasonHolder))
	}
	if c := a.home(&p); c != nil {
		return p.finish(p.count(c, reasonHome))
	}
	return p.finish(p.zoned((*pick).least))
}

// holder returns the least loaded candidate within the bound that is believed
// to hold the longest prefix that any of them holds.
func (a *affinity) holder(p *pick) *Candidate {
	bound := p.bound()
	oldest := a.oldest(p.now)
	var handles [ways]uint32
	for i := len(p.q.Blocks) - 1; i >= 0; i-- {
		n := a.prefixes.holders(p.q.Blocks[i], oldest, &handles)
		if c := a.leastOf(p, handles[:n], bound); c != nil {
			return c
		}
	}
	return nil
}

func (a *affinity) leastOf(p *pick, handles []uint32, bound float64) *Candidate {
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
	return best
}

// home returns the first candidate within the bound in the rendezvous order of
// the prompt's first block.
func (a *affinity) home(p *pick) *Candidate {
	pool := p.v.candidates
	if local := p.v.zones[p.q.Zone]; a.tuning.ZoneFirst && len(local) > 0 {
		pool = local
	}
	bound := p.bound()
	var best *Candidate
	var bestRank uint64
	for _, c := range pool {
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
