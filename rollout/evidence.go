package rollout

import (
	"math/bits"
	"time"
)

// Histogram counts durations by powers of two of a millisecond. Bucket 0 is below 1 ms,
// bucket i from 2^(i-1) ms to 2^i ms, the last one all that is longer.
type Histogram [histogramBuckets]uint32

const histogramBuckets = 16

// Add counts a duration.
func (h *Histogram) Add(d time.Duration) { h[bucket(d)]++ }

func bucket(d time.Duration) int {
	return min(bits.Len64(uint64(max(0, d.Milliseconds()))), histogramBuckets-1)
}

// from returns the number of durations in bucket i and above.
func (h *Histogram) from(i int) uint32 {
	sum := uint32(0)
	for _, n := range h[min(i, len(h)):] {
		sum += n
	}
	return sum
}

func (h *Histogram) merge(other *Histogram) {
	for i, n := range other {
		h[i] += n
	}
}

// Sample is what was observed of one version on one route.
type Sample struct {
	Ended  uint32    // attempts that ended with an answer or by the fault of their server
	Failed uint32    // those with an error status, or whose server broke off although it lives
	First  Histogram // times to an answer without an error status; of a stream, to its first event
	Pace   Histogram // times for PaceEvents events of a stream
	// Pending holds how long attempts without an answer or a first event have lasted so
	// far. A slow version shows there before it has answered.
	Pending Histogram
}

// PaceEvents is how many events a stream's pace is measured over. A stream sends them
// within a second, long before it ends, and a pause beside another prompt weighs little.
const PaceEvents = 16

// answered returns the number of attempts that show how the version answers. Streams that
// have begun count, as they may last longer than the time for a judgement.
func (s *Sample) answered() uint32 { return max(s.Ended, s.First.from(0)) }

// decided returns the number of attempts that have failed or begun to answer. Streams that
// have not ended count, as failures come early: without them a version that has just got
// more requests would seem to fail more often.
func (s *Sample) decided() uint32 { return max(s.Ended, s.First.from(0)+s.Failed) }

// begun returns the number of attempts that have failed or begun to answer in an interval.
func (s *Sample) begun() uint32 { return s.First.from(0) + s.Failed }

func (s *Sample) merge(other *Sample) {
	s.Ended += other.Ended
	s.Failed += other.Failed
	s.First.merge(&other.First)
	s.Pace.merge(&other.Pace)
	s.Pending.merge(&other.Pending)
}

// Comparison holds the samples of the established versions and the new one on one route
// in the same time.
type Comparison struct{ Established, New Sample }

func (c *Comparison) merge(other *Comparison) {
	c.Established.merge(&other.Established)
	c.New.merge(&other.New)
}

// Evidence holds the comparisons by route, as the hash of its name.
type Evidence map[uint32]*Comparison

// sample returns the sample of one side on a route.
func (e Evidence) sample(route uint32, isNew bool) *Sample {
	c := e[route]
	if c == nil {
		c = &Comparison{}
		e[route] = c
	}
	if isNew {
		return &c.New
	}
	return &c.Established
}

// Merge adds other evidence.
func (e Evidence) Merge(other Evidence) {
	for route, c := range other {
		if e[route] == nil {
			e[route] = &Comparison{}
		}
		e[route].merge(c)
	}
}

// total returns the comparison over all routes.
func (e Evidence) total() *Comparison {
	sum := &Comparison{}
	for _, c := range e {
		sum.merge(c)
	}
	return sum
}
