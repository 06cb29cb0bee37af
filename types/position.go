package types

import (
	"strconv"
	"sync/atomic"
)

// Position is a place in the history of a store that may come back from an older copy of
// itself: the store's era, which rises each time that happens, and its revision, which only
// grows within an era and may go back with a new one. Positions are ordered: those of an
// era come after all of the eras before. The zero Position precedes all others.
type Position uint64

const (
	// revisionBits leaves 20 bits to the era. At 400 changes a second a revision fills them
	// after 1,400 years.
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era. Numbers beyond the range are
// set to its end.
func NewPosition(era, revision uint64) Position {
	return Position(min(era, maxEra)<<revisionBits | min(revision, maxRevision))
}

// Era returns the store's era.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the store's revision in its era.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// String returns the position as era.revision, or as the revision alone in era 0.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision(), 10)
	if p.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era(), 10) + "." + revision
}

// AtomicPosition is a Position that several goroutines may use.
type AtomicPosition struct{ value atomic.Uint64 }

// Load returns the position.
func (a *AtomicPosition) Load() Position { return Position(a.value.Load()) }

// Advance sets the position to p unless it is at or after p. It reports whether it did.
func (a *AtomicPosition) Advance(p Position) bool {
	for {
		known := a.value.Load()
		if uint64(p) <= known {
			return false
		}
		if a.value.CompareAndSwap(known, uint64(p)) {
			return true
		}
	}
}
