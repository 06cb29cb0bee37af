package route

import "sync/atomic"

// roundRobin picks the candidates in turn.
type roundRobin struct {
	base
	next atomic.Uint64
}

// Pick implements Policy.
func (r *roundRobin) Pick(q *Query, v *View) (*Candidate, bool) {
	p := r.begin(q, v)
	if c := p.pickSpecial(); c != nil {
		return c, true
	}
	n := v.Len()
	if n == 0 {
		return p.orLastResort(nil)
	}
	first := int(r.next.Add(1) % uint64(n))
	for i := range n {
		c := v.candidates[wrap(first+i, n)]
		if p.usable(c) {
			return p.orLastResort(p.count(c, reasonLoad))
		}
	}
	return p.orLastResort(nil)
}

// leastLoad picks the candidate with the lowest score in the router's own zone, or
// in the whole view (see pickZoneFirst).
type leastLoad struct{ base }

// Pick implements Policy.
func (l *leastLoad) Pick(q *Query, v *View) (*Candidate, bool) {
	p := l.begin(q, v)
	if c := p.pickSpecial(); c != nil {
		return c, true
	}
	return p.orLastResort(p.pickZoneFirst(selectLeastLoaded))
}

// powerOfTwo draws two candidates at random and picks the one with the lower
// score, in the router's own zone first like leastLoad.
type powerOfTwo struct{ base }

// Pick implements Policy.
func (t *powerOfTwo) Pick(q *Query, v *View) (*Candidate, bool) {
	p := t.begin(q, v)
	if c := p.pickSpecial(); c != nil {
		return c, true
	}
	return p.orLastResort(p.pickZoneFirst(selectBetterOfTwo))
}
