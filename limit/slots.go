package limit

import "sync/atomic"

// Class is the kind of a request by how long it holds a slot.
type Class int

// Classes of requests.
const (
	Plain Class = iota // a call to a plain service
	Short              // a generation of seconds
	Long               // a generation of minutes
	classes
)

// String returns the class as metrics label it.
func (c Class) String() string { return [...]string{"plain", "short", "long"}[c] }

const (
	// longShare is the part of all slots that long generations may fill, so
	// that short ones find a slot while all long ones run on for minutes.
	longShare = 0.75
	// modelShare is the part that generations of both kinds may fill; the rest
	// is for plain calls alone.
	modelShare = 0.95
	// longFloor is the part below which long generations go before short ones,
	// so that a flood of short ones can't starve them.
	longFloor = 0.25

	countBits = 21
	countMask = 1<<countBits - 1
)

// counts are the slots taken by class, packed in one word so that taking a
// slot is one compare-and-swap.
type counts uint64

func (c counts) of(class Class) int   { return int(c >> (uint(class) * countBits) & countMask) }
func (c counts) total() int           { return c.of(Plain) + c.of(Short) + c.of(Long) }
func (c counts) plus(cl Class) counts { return c + 1<<(uint(cl)*countBits) }

// fits reports whether one more of class may start on capacity slots.
func (c counts) fits(class Class, capacity int) bool {
	if c.total() >= capacity {
		return false
	}
	generations := c.of(Short) + c.of(Long)
	switch class {
	case Long:
		return c.of(Long) < part(capacity, longShare) && generations < part(capacity, modelShare)
	case Short:
		return generations < part(capacity, modelShare)
	default:
		return true
	}
}

// part is a share of capacity, at least one slot.
func part(capacity int, share float64) int { return max(1, int(float64(capacity)*share)) }

type slots struct{ word atomic.Uint64 }

func (s *slots) counts() counts { return counts(s.word.Load()) }

func (s *slots) take(class Class, capacity int) bool {
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

func (s *slots) put(class Class) { s.word.Add(-(uint64(1) << (uint(class) * countBits))) }
