package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pearyard/pearyard/types"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// retrySpacing is the distance between the retry times of two refused callers,
	// as a multiple of the time between two releases. It is larger than 1 to leave
	// capacity for new requests.
	retrySpacing = 1.25
	// retryJitter is the maximum random addition to a Retry-After, as a fraction of
	// that distance. A larger value would make retries cluster again.
	retryJitter = 0.25
	// drainInterval is the minimum time between two samples of the drain rate, and
	// drainAlpha the weight of a new sample in its exponential moving average.
	drainInterval = 500 * time.Millisecond
	drainAlpha    = 0.3
	// eventInterval is the minimum time between two events about one organisation.
	eventInterval = 10 * time.Second
)

// drainMeter measures the drain rate: how many slots are released per second.
type drainMeter struct {
	at    time.Time // of the last sample
	count uint64    // slots released until then
	rate  float64   // slots per second
	known bool      // whether rate was measured
}

// sample updates the rate. released is the number of slots released so far.
func (d *drainMeter) sample(now time.Time, released uint64) {
	if d.at.IsZero() {
		d.at, d.count = now, released
		return
	}
	elapsed := now.Sub(d.at)
	if elapsed < drainInterval {
		return
	}
	rate := float64(released-d.count) / elapsed.Seconds()
	if d.known {
		rate = drainAlpha*rate + (1-drainAlpha)*d.rate
	}
	d.at, d.count, d.rate, d.known = now, released, rate, true
}

// drainFor returns the rate, in slots per second, at which slots become available to
// an organisation while all waiting organisations share them by weight.
func (l *Limiter) drainFor(st *state, sh *share) float64 {
	weights := l.waitingWeight
	if st.waiting.Load() == 0 {
		weights += sh.weight
	}
	if weights <= 0 {
		return l.drain.rate
	}
	return l.drain.rate * sh.weight / weights
}

// expectedWait estimates how long a new request would wait in the organisation's
// queue. It is 0 while the drain rate is unknown, so that no request is refused
// without a measurement.
func (l *Limiter) expectedWait(st *state, sh *share) time.Duration {
	l.drain.sample(l.opts.Now(), l.released.Load())
	drain := l.drainFor(st, sh)
	if !l.drain.known || drain <= 0 {
		return 0
	}
	return seconds(float64(st.waiting.Load()) / drain)
}

// shed refuses a request that can't be queued. The caller holds l.mu. While the
// drain rate is unknown or 0, the Retry-After assumes one slot per second and an
// empty queue.
func (l *Limiter) shed(st *state, sh *share, reason string, now time.Time) *types.Refusal {
	l.metrics.refused.WithLabelValues(reason).Inc()
	l.drain.sample(now, l.released.Load())
	drain := l.drainFor(st, sh)
	ahead := float64(st.waiting.Load())
	if drain <= 0 {
		drain, ahead = 1, 0
	}
	after := st.assignRetryAfter(now, seconds(ahead/drain), seconds(1/drain))
	if st.allowEvent(now) {
		l.opts.Recorder.Emit(eventShed, "organisation", string(st.name), "reason", reason,
			"waiting", st.waiting.Load(), "running", st.inflight.Load(), "retry_after", after)
	}
	return types.NotRun(types.CodeOverloaded, after, "no slot for this organisation now (%s)", reason)
}

// retryAfterWait returns the Retry-After for a request whose wait ended without a
// slot. While the drain rate is unknown or 0, it assumes one slot per second.
func (l *Limiter) retryAfterWait(st *state) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	sh := l.shareOf(st, now)
	drain := l.drainFor(st, sh)
	if drain <= 0 {
		drain = 1
	}
	return st.assignRetryAfter(now, seconds(float64(st.waiting.Load())/drain), seconds(1/drain))
}

// checkRate refuses a request that exceeds its organisation's rate limit.
func (l *Limiter) checkRate(st *state, sh *share, now time.Time) *types.Refusal {
	limiter := st.rate.Load()
	if limiter == nil || limiter.AllowN(now, 1) {
		return nil
	}
	l.metrics.refused.WithLabelValues(reasonRate).Inc()
	first := seconds(max(0, 1-limiter.TokensAt(now)) / sh.rate)
	after := st.assignRetryAfter(now, first, seconds(1/sh.rate))
	if st.allowEvent(now) {
		l.opts.Recorder.Emit(eventRate, "organisation", string(st.name), "rate_here", sh.rate, "retry_after", after)
	}
	return types.NotRun(types.CodeRateLimited, after, "the organisation's rate is used up")
}

// assignRetryAfter returns the Retry-After for a refused caller. The retry time is
// at least first from now and retrySpacing times step after that of the previous
// refused caller, so that callers that are refused together don't retry together. If
// that is more than maxRetryAfter from now, the Retry-After is random, between half
// of maxRetryAfter and maxRetryAfter.
func (st *state) assignRetryAfter(now time.Time, first, step time.Duration) time.Duration {
	latest := now.Add(maxRetryAfter).UnixNano()
	step = time.Duration(retrySpacing * float64(step))
	for {
		last := st.lastRetryAt.Load()
		next := max(now.Add(first).UnixNano(), last+int64(step))
		assigned := min(next, latest)
		if !st.lastRetryAt.CompareAndSwap(last, assigned) {
			continue
		}
		after := time.Duration(assigned - now.UnixNano())
		if next > latest {
			after = maxRetryAfter/2 + time.Duration(rand.Float64()*float64(maxRetryAfter/2))
		}
		after += time.Duration(rand.Float64() * retryJitter * float64(step))
		return max(minRetryAfter, after)
	}
}

// allowEvent reports whether an event about the organisation may be emitted now.
func (st *state) allowEvent(now time.Time) bool {
	last := st.lastEvent.Load()
	return now.UnixNano()-last >= int64(eventInterval) && st.lastEvent.CompareAndSwap(last, now.UnixNano())
}

// seconds converts a number of seconds to a duration, limited to ten times
// maxRetryAfter so that it can't overflow.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxRetryAfter.Seconds()*10) * float64(time.Second))
}
