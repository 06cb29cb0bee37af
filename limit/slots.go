package limit

import "sync/atomic"

// Class classifies requests by how long they hold a slot.
type Class int

// Values of Class.
const (
	Plain   Class = iota // a call to a plain service
	Short                // a generation that takes seconds
	Long                 // a generation that takes minutes
	classes              // number of classes
)

// String returns the class's value of the class label in metrics.
func (c Class) String() string { return [...]string{"plain", "short", "long"}[c] }

const (
	// longShare is the fraction of the slots that long generations may use, so that
	// slots remain for short generations while long ones run for minutes.
	longShare = 0.75
	// generationShare is the fraction that short and long generations together may
	// use. The rest is reserved for plain calls.
	generationShare = 0.95
	// longPriorityShare is the fraction below which long generations take
	// precedence over short ones, so that a flood of short ones can't starve them.
	longPriorityShare = 0.25

	// countBits is the width of the count of one class, in bits: three fit into the
	// word of counts.
	countBits = 21
	countMask = 1<<countBits - 1
)

// counts holds the number of used slots by class, packed into one word so that a
// slot is acquired with one compare-and-swap.
type counts uint64

func (c counts) of(class Class) int   { return int(c >> (uint(class) * countBits) & countMask) }
func (c counts) total() int           { return c.of(Plain) + c.of(Short) + c.of(Long) }
func (c counts) plus(cl Class) counts { return c + 1<<(uint(cl)*countBits) }

// fits reports whether one more request of class may start, given capacity slots.
func (c counts) fits(class Class, capacity int) bool {
	if c.total() >= capacity {
		return false
	}
	generations := c.of(Short) + c.of(Long)
	switch class {
	case Long:
		return c.of(Long) < fractionOf(capacity, longShare) && generations < fractionOf(capacity, generationShare)
	case Short:
		return generations < fractionOf(capacity, generationShare)
	default:
		return true
	}
}

// fractionOf returns a fraction of capacity, but at least one slot.
func fractionOf(capacity int, fraction float64) int { return max(1, int(float64(capacity)*fraction)) }

// slots counts the used slots of a router.
type slots struct{ word atomic.Uint64 }

func (s *slots) counts() counts { return counts(s.word.Load()) }

func (s *slots) acquire(class Class, capacity int) bool {
	for {
		old := s.counts()
		if !old.fits(class, capacity) {
			return false
		}
		if s.word.CompareAndSwap(uint64(old), uint64(old.plus(class))) {
			return true
		}
	}
}

func (s *slots) release(class Class) { s.word.Add(-(uint64(1) << (uint(class) * countBits))) }
