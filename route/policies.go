package route

import "sync/atomic"

// roundRobin takes one candidate after the other.
type roundRobin struct {
	base
	next atomic.Uint64
}

// Pick implements Policy.
func (r *roundRobin) Pick(q *Query, v *View) (*Candidate, bool) {
	p := r.begin(q, v)
	if c := p.special(); c != nil {
		return c, true
	}
	n := v.Len()
	if n == 0 {
		return p.finish(nil)
	}
	first := int(r.next.Add(1) % uint64(n))
	for i := range n {
		c := v.candidates[wrap(first+i, n)]
		if p.usable(c) {
			return p.finish(p.count(c, reasonLoad))
		}
	}
	return p.finish(nil)
}

// leastLoad takes the least score of the zone, or of all.
type leastLoad struct{ base }

// Pick implements Policy.
func (l *leastLoad) Pick(q *Query, v *View) (*Candidate, bool) {
	p := l.begin(q, v)
	if c := p.special(); c != nil {
		return c, true
	}
	return p.finish(p.zoned(byLeast))
}

// powerOfTwo draws two by chance and takes the one with the lesser score.
type powerOfTwo struct{ base }

// Pick implements Policy.
func (t *powerOfTwo) Pick(q *Query, v *View) (*Candidate, bool) {
	p := t.begin(q, v)
	if c := p.special(); c != nil {
		return c, true
	}
	return p.finish(p.zoned(byTwo))
}
