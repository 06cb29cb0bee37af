package retry

import (
	"sync"
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
type Window struct {
	slot time.Duration
	now  func() time.Time

	mu     sync.Mutex // guards the fields below; held for a few instructions
	ratio  float64
	extra  float64
	first  [windowSlots + 1]float64
	again  [windowSlots + 1]float64
	newest int64 // number of the newest slot since zero
	zero   time.Time
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.extra = ratio, extra
}

// First counts a first try.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first[w.advance()]++
}

// Allow counts a retry if the bound leaves room for it.
func (w *Window) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	if sum(&w.again)+1 > w.ratio*sum(&w.first)+w.extra {
		return false
	}
	w.again[i]++
	return true
}

// Counts returns the first tries and retries in the window now.
func (w *Window) Counts() (first, again float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return sum(&w.first), sum(&w.again)
}

// Take counts a retry that was allowed by a bound for several processes.
func (w *Window) Take() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.again[w.advance()]++
}

// advance empties the slots that time has passed and returns the current one.
func (w *Window) advance() int {
	slot := int64(w.now().Sub(w.zero) / w.slot)
	for n := max(w.newest+1, slot-windowSlots); n <= slot; n++ {
		w.first[n%(windowSlots+1)] = 0
		w.again[n%(windowSlots+1)] = 0
	}
	w.newest = max(w.newest, slot)
	return int(w.newest % (windowSlots + 1))
}

func sum(slots *[windowSlots + 1]float64) float64 {
	total := 0.0
	for _, v := range slots {
		total += v
	}
	return total
}
