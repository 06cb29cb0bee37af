package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Upper bounds of the random delay before a router retries a request: BackoffBase
// for the first retry, BackoffMax for any.
const (
	BackoffBase = 20 * time.Millisecond
	BackoffMax  = 500 * time.Millisecond
)

// Backoff returns the delay before retry n, counted from 1: exponential backoff
// with full jitter, so a random time between 0 and a bound that doubles with n.
func Backoff(n int) time.Duration {
	return jitter(exponential(BackoffBase, BackoffMax, n-1))
}

// Bounds of the value that RetryAfter returns.
const (
	RetryAfterMin = time.Second
	RetryAfterMax = 30 * time.Second
)

// RetryAfter returns the Retry-After delay for a caller whose request was shed.
// load is the ratio of demand to capacity, at least 1 when requests are shed.
// The retries of callers that are shed at the same moment are spread over a window
// that grows with load. If they all retried together, they would cause the next
// overload.
func RetryAfter(load float64) time.Duration {
	return RetryAfterMin + jitter(retryAfterWindow(load))
}

// retryAfterWindow returns the length of the window over which the retries of shed
// callers are spread. It is one second at load 1 and grows with the square of load, because
// both the number of shed callers and the time to drain the queue grow with it.
func retryAfterWindow(load float64) time.Duration {
	if math.IsNaN(load) || load < 1 {
		load = 1
	}
	limit := RetryAfterMax - RetryAfterMin
	window := load * load * float64(time.Second)
	return time.Duration(min(window, float64(limit)))
}

// jitter returns a random duration between 0 and limit, inclusive.
func jitter(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// exponential returns base doubled n times, but at most limit.
func exponential(base, limit time.Duration, n int) time.Duration {
	for range n {
		base *= 2
		if base >= limit {
			return limit
		}
	}
	return min(base, limit)
}

// BackoffBetween returns the delay before retry n, counted from 1: base, plus a
// random time between 0 and a bound that starts at base and doubles with n up to
// limit. Unlike Backoff, it never returns less than base, because it is meant for
// external systems that charge for each call.
func BackoffBetween(base, limit time.Duration, n int) time.Duration {
	return base + jitter(exponential(base, limit, n-1))
}
