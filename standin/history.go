package standin

import "time"

// history keeps past values, so that they can be read as of some time ago. It
// drops values that were replaced longer ago than the retention time.
type history[T any] struct {
	retention time.Duration
	entries   []sample[T]
}

// sample is a value and the time from which on it applies.
type sample[T any] struct {
	at    time.Time
	value T
}

func (h *history[T]) add(now time.Time, value T) {
	h.entries = append(h.entries, sample[T]{now, value})
	drop := 0
	for drop+1 < len(h.entries) && !h.entries[drop+1].at.After(now.Add(-h.retention)) {
		drop++
	}
	h.entries = h.entries[drop:]
}

// asOf returns the value at a time, or the oldest retained value for an earlier time.
func (h *history[T]) asOf(at time.Time) T {
	for i := len(h.entries) - 1; i > 0; i-- {
		if !h.entries[i].at.After(at) {
			return h.entries[i].value
		}
	}
	if len(h.entries) == 0 {
		var zero T
		return zero
	}
	return h.entries[0].value
}

// unchangedSince reports whether the value hasn't changed since a time.
func (h *history[T]) unchangedSince(at time.Time) bool {
	return len(h.entries) == 0 || !h.entries[len(h.entries)-1].at.After(at)
}
