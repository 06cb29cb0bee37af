package standin

import "time"

// history keeps the past values of something, so that it can be read as it was
// some time ago. It drops values that no reader asks for any more.
type history[T any] struct {
	keep    time.Duration
	entries []moment[T]
}

type moment[T any] struct {
	at    time.Time
	value T
}

func (h *history[T]) add(now time.Time, value T) {
	h.entries = append(h.entries, moment[T]{now, value})
	drop := 0
	for drop+1 < len(h.entries) && !h.entries[drop+1].at.After(now.Add(-h.keep)) {
		drop++
	}
	h.entries = h.entries[drop:]
}

// asOf returns the value at a time; the oldest kept one for a time before it.
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

// settled reports whether the newest value was already there at a time.
func (h *history[T]) settled(at time.Time) bool {
	return len(h.entries) == 0 || !h.entries[len(h.entries)-1].at.After(at)
}
