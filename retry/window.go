package retry

import (
	"math"
	"sync/atomic"
	"time"
)

// windowSlots is in how many parts a Window is counted. One more than the
// window's own length is kept, so that any span of that length is covered.
const windowSlots = 20

// Window bounds the retries of one service in any span of a given length: a
// share of the first tries in it, plus a fixed number. Every process holds its
// part of the fixed number, so that all together keep a bound without asking
// one another on the path of a request. It saves nothing up beyond the span, but
// lets a burst of first tries pay for a burst of retries.
//
// It takes no lock: all requests of a service count here. With a lock, a first
// try and an asked retry took 519 to 525 ns, 12 threads on one window; so they
// take 284 to 307 (BenchmarkWindow).
type Window struct {
	slot  time.Duration
	now   func() time.Time
	zero  time.Time
	ratio atomic.Uint64 // bits of a float64
	extra atomic.Uint64 // bits of a float64
	slots [windowSlots + 1]atomic.Uint64
}

// NewWindow returns a window of the given length.
func NewWindow(length time.Duration, now func() time.Time) *Window {
	if now == nil {
		now = time.Now
	}
	return &Window{slot: length / windowSlots, now: now, zero: now()}
}

// Bound sets the share of first tries and the number that are always allowed.
func (w *Window) Bound(ratio, extra float64) {
	w.ratio.Store(math.Float64bits(ratio))
	w.extra.Store(math.Float64bits(extra))
}

// First counts a first try.
func (w *Window) First() { w.count(w.current(), 1, 0) }

// Allow counts a retry if the bound leaves room for it.
//
// It counts first and looks then, and takes the count back if there was no room.
// Of all that are allowed, the one that counted last has seen all others, so the
// bound holds however many ask at once. Several that ask for the last place may
// all be refused.
func (w *Window) Allow() bool {
	slot := w.current()
	w.count(slot, 0, 1)
	first, again := w.sums(slot)
	if again <= math.Float64frombits(w.ratio.Load())*first+math.Float64frombits(w.extra.Load()) {
		return true
	}
	w.count(slot, 0, -1)
	return false
}

// Counts returns the first tries and retries in the window now.
func (w *Window) Counts() (first, again float64) { return w.sums(w.current()) }

// Take counts a retry that was allowed by a bound for several processes.
func (w *Window) Take() { w.count(w.current(), 0, 1) }

// current returns the number of the slot of this moment.
func (w *Window) current() int64 { return int64(w.now().Sub(w.zero) / w.slot) }

// count adds to a slot; what it held of an earlier turn is dropped. What is taken
// back too late finds the place in its next turn and leaves it as it is.
func (w *Window) count(slot int64, first, again int) {
	cell := &w.slots[slot%(windowSlots+1)]
	for {
		old := cell.Load()
		held := unpack(old)
		if held.turn < turnOf(slot) {
			held = tally{turn: turnOf(slot)}
		}
		if again < 0 && held.turn > turnOf(slot) {
			return
		}
		held.first = saturated(held.first + first)
		held.again = saturated(held.again + again)
		if cell.CompareAndSwap(old, held.pack()) {
			return
		}
	}
}

// sums adds up the slots of the window that ends with a slot.
func (w *Window) sums(slot int64) (first, again float64) {
	for number := max(0, slot-windowSlots); number <= slot; number++ {
		held := unpack(w.slots[number%(windowSlots+1)].Load())
		if held.turn >= turnOf(number) {
			first += float64(held.first)
			again += float64(held.again)
		}
	}
	return first, again
}

// tally is what a slot holds: how often its place has been used before, and its
// counts. Packed into one word it changes at once, so that no count of an
// earlier turn is added to a later one.
type tally struct{ turn, first, again int }

const (
	// countBits hold a million tries a slot, 200 times what a whole site sends in a second.
	countBits = 20
	maxCount  = 1<<countBits - 1
)

// turnOf returns how often a slot's place was used before it. 24 bits of turns of
// ten seconds are five years.
func turnOf(slot int64) int { return int(slot / (windowSlots + 1)) }

func (t tally) pack() uint64 {
	return uint64(t.turn)<<(2*countBits) | uint64(t.first)<<countBits | uint64(t.again)
}

func unpack(word uint64) tally {
	return tally{turn: int(word >> (2 * countBits)), first: int(word>>countBits) & maxCount, again: int(word) & maxCount}
}

func saturated(n int) int { return min(max(n, 0), maxCount) }
