package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds of the wait between two tries by a router.
const (
	BackoffBase = 20 * time.Millisecond
	BackoffMax  = 500 * time.Millisecond
)

// Backoff returns the wait before retry number n (from 1): any time up to a
// bound that doubles with n (full jitter).
func Backoff(n int) time.Duration {
	return jitter(growing(BackoffBase, BackoffMax, n-1))
}

// Bounds of RetryAfter.
const (
	RetryAfterMin = time.Second
	RetryAfterMax = 30 * time.Second
)

// RetryAfter tells a shed caller when to come back. load is the demand in parts
// of the capacity, 1 and more when callers are shed. The callers shed in a
// moment come back spread over a window that grows with load, not together:
// together they would be the next overload, in step, as often as they come.
func RetryAfter(load float64) time.Duration {
	return RetryAfterMin + jitter(retryWindow(load))
}

// retryWindow is one second at load 1 and grows with the square of load: both
// the number of shed callers and the time that the queue needs grow with it.
func retryWindow(load float64) time.Duration {
	if math.IsNaN(load) || load < 1 {
		load = 1
	}
	limit := RetryAfterMax - RetryAfterMin
	window := load * load * float64(time.Second)
	return time.Duration(min(window, float64(limit)))
}

func jitter(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// growing returns base doubled n times, limit at the most.
func growing(base, limit time.Duration, n int) time.Duration {
	for range n {
		base *= 2
		if base >= limit {
			return limit
		}
	}
	return min(base, limit)
}

// BackoffBetween is Backoff with bounds of the caller's choice and at least
// base, for calls to an outside system that charges for each of them.
func BackoffBetween(base, longest time.Duration, n int) time.Duration {
	return base + jitter(growing(base, longest, n-1))
}
