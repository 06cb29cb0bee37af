package limit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pearyard/pearyard/types"
)

const (
	// retryMin and retryMax bound what a refusal promises.
	retryMin = 200 * time.Millisecond
	retryMax = 60 * time.Second
	// returnStep is how far apart two that were sent away are told to return, in
	// the time that one place takes to come free: room is left for newcomers.
	returnStep = 1.25
	// retryJitter is the random part of that distance on top of it. A larger one
	// would bunch the returning ones again.
	retryJitter = 0.25
	// drainSample is the least time between two samples of the drain rate, and
	// drainAlpha the weight of a new one.
	drainSample = 500 * time.Millisecond
	drainAlpha  = 0.3
	// tellEvery bounds how often an event tells of one organisation.
	tellEvery = 10 * time.Second
)

// drainMeter measures how many slots come free in a second.
type drainMeter struct {
	at    time.Time
	count uint64
	rate  float64
	known bool
}

func (d *drainMeter) sample(now time.Time, drained uint64) {
	if d.at.IsZero() {
		d.at, d.count = now, drained
		return
	}
	passed := now.Sub(d.at)
	if passed < drainSample {
		return
	}
	rate := float64(drained-d.count) / passed.Seconds()
	if d.known {
		rate = drainAlpha*rate + (1-drainAlpha)*d.rate
	}
	d.at, d.count, d.rate, d.known = now, drained, rate, true
}

// drainFor is the rate at which slots come free for one organisation while all
// that wait share them by weight.
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

// expectedWait is how long the organisation's queue takes; 0 while the drain
// rate isn't known, since turning one away on a guess would be untrue.
func (l *Limiter) expectedWait(st *state, sh *share) time.Duration {
	l.drain.sample(l.opts.Now(), l.drained.Load())
	drain := l.drainFor(st, sh)
	if !l.drain.known || drain <= 0 {
		return 0
	}
	return seconds(float64(st.waiting.Load()) / drain)
}

// shed refuses a request that can't wait. Called under the lock.
func (l *Limiter) shed(st *state, sh *share, reason string, now time.Time) *types.Refusal {
	l.metrics.refused.WithLabelValues(reason).Inc()
	l.drain.sample(now, l.drained.Load())
	drain := l.drainFor(st, sh)
	ahead := float64(st.waiting.Load())
	if drain <= 0 {
		drain, ahead = 1, 0
	}
	after := st.promise(now, seconds(ahead/drain), seconds(1/drain))
	if st.mayTell(now) {
		l.opts.Recorder.Emit(eventShed, "organisation", string(st.name), "reason", reason,
			"waiting", st.waiting.Load(), "running", st.inflight.Load(), "retry_after", after)
	}
	return types.NotRun(types.CodeOverloaded, after, "no slot for this organisation now (%s)", reason)
}

func (l *Limiter) comeBack(st *state) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	sh := l.shareOf(st, now)
	drain := l.drainFor(st, sh)
	if drain <= 0 {
		drain = 1
	}
	return st.promise(now, seconds(float64(st.waiting.Load())/drain), seconds(1/drain))
}

func (l *Limiter) checkRate(st *state, sh *share, now time.Time) *types.Refusal {
	limiter := st.rate.Load()
	if limiter == nil || limiter.AllowN(now, 1) {
		return nil
	}
	l.metrics.refused.WithLabelValues(reasonRate).Inc()
	first := seconds(max(0, 1-limiter.TokensAt(now)) / sh.rate)
	after := st.promise(now, first, seconds(1/sh.rate))
	if st.mayTell(now) {
		l.opts.Recorder.Emit(eventRate, "organisation", string(st.name), "rate_here", sh.rate, "retry_after", after)
	}
	return types.NotRun(types.CodeRateLimited, after, "the organisation's rate is used up")
}

// promise gives each one sent away its own time to come back: not before
// first, and a step after the one sent away before. A crowd that is turned
// away together then doesn't return together.
func (st *state) promise(now time.Time, first, step time.Duration) time.Duration {
	latest := now.Add(retryMax).UnixNano()
	step = time.Duration(returnStep * float64(step))
	for {
		last := st.promised.Load()
		next := max(now.Add(first).UnixNano(), last+int64(step))
		kept := min(next, latest)
		if !st.promised.CompareAndSwap(last, kept) {
			continue
		}
		after := time.Duration(kept - now.UnixNano())
		if next > latest {
			after = retryMax/2 + time.Duration(rand.Float64()*float64(retryMax/2))
		}
		after += time.Duration(rand.Float64() * retryJitter * float64(step))
		return max(retryMin, after)
	}
}

func (st *state) mayTell(now time.Time) bool {
	last := st.told.Load()
	return now.UnixNano()-last >= int64(tellEvery) && st.told.CompareAndSwap(last, now.UnixNano())
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, retryMax.Seconds()*10) * float64(time.Second))
}
