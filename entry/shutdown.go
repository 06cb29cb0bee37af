package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/site"
)

// shutdownState decides which requests a process may still accept once a planned stop has
// begun. A stream that is cut at the end of the grace period resumes late for its
// caller; one that is refused at once goes to another process in time.
//
// Invariant: an accepted request ends before the process, or can be finished before if it takes
// no longer than the longest known request like it; see handler.mayTakeInStop.
type shutdownState struct {
	endOffset   atomic.Int64 // end of the process, in monotonic nanoseconds since epoch; 0: no stop has begun
	beginOffset atomic.Int64 // beginning of the stop, likewise
	epoch       time.Time

	mu      sync.Mutex
	byRoute map[routeKey]*durationStats // durations of requests by route
}

// routeKey identifies a route. Names may be missing; the kind then keeps streams from
// being estimated by plain calls.
type routeKey struct {
	name string
	kind site.Kind
}

const (
	// defaultStreamDuration is the assumed duration of a stream before enough have ended.
	defaultStreamDuration = 7 * time.Second
	// minPlainDuration is the 99th percentile of the duration of plain calls, with
	// responseMargin. No plain call is accepted with less time left.
	minPlainDuration = 800 * time.Millisecond
	// estimateWindow is how long after a stop has begun streams may be accepted by the
	// estimated duration; later ones need a deadline before the process's end.
	// Callers arrive for rotationDelay, and the health check that takes the process out
	// of rotation may be late by 400 ms; whoever comes after that comes to a process
	// that has long reported itself not ready.
	estimateWindow = rotationDelay + 400*time.Millisecond
	// responseMargin is reserved at the end for writing the responses to plain calls.
	responseMargin = 300 * time.Millisecond
)

func newShutdownState() *shutdownState {
	return &shutdownState{epoch: time.Now(), byRoute: map[routeKey]*durationStats{}}
}

// maxTrackedRoutes bounds how many routes are tracked at a time; it is more than a
// configuration has. Routes come and go with configurations, so past the bound all
// samples are dropped.
const maxTrackedRoutes = 4096

// durationsOf returns the durations of a route's requests. Routes differ too much to share
// samples.
func (s *shutdownState) durationsOf(r *site.Route) *durationStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := routeKey{r.Name, r.Kind}
	d := s.byRoute[key]
	if d != nil {
		return d
	}
	if len(s.byRoute) >= maxTrackedRoutes {
		clear(s.byRoute)
	}
	fallback := minPlainDuration
	if r.Kind == site.Stream {
		fallback = defaultStreamDuration
	}
	d = newDurationStats(fallback)
	s.byRoute[key] = d
	return d
}

// begin records that a stop begins now and that the process ends at end.
func (s *shutdownState) begin(end time.Time) {
	s.beginOffset.Store(int64(time.Since(s.epoch)))
	s.endOffset.Store(int64(end.Sub(s.epoch)))
}

// pastEstimateWindow reports whether the stop has gone on for so long that only streams
// that are certain to end before the process are accepted.
func (s *shutdownState) pastEstimateWindow(now time.Time) bool {
	return s.begun() && now.Sub(s.epoch)-time.Duration(s.beginOffset.Load()) > estimateWindow
}

func (s *shutdownState) begun() bool { return s.endOffset.Load() != 0 }

func (s *shutdownState) endsAt() time.Time { return s.epoch.Add(time.Duration(s.endOffset.Load())) }

// maxDuration returns how long the stop may take, from its beginning to the end of the
// process.
func (s *shutdownState) maxDuration() time.Duration {
	return time.Duration(s.endOffset.Load() - s.beginOffset.Load())
}

// estimate returns how long the next request of a route may take. As long as too few
// streams of a route have ended, the longest stream of all routes is the estimate.
// Without that, after a restart with a few routes, streams were refused for most of the
// next stop although the streams of every other route were short enough.
func (s *shutdownState) estimate(r *site.Route, now time.Time) time.Duration {
	own := s.durationsOf(r)
	if r.Kind != site.Stream {
		return max(minPlainDuration, own.estimate(now)+responseMargin)
	}
	if longest, enough := s.longestStream(now); enough && !own.hasEnough() {
		return longest
	}
	return own.estimate(now)
}

// longestStream estimates the duration of the longest stream of any route, and reports
// whether enough streams have ended for that.
func (s *shutdownState) longestStream(now time.Time) (longest time.Duration, enough bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := 0
	for _, d := range s.byRoute {
		if d.fallback != defaultStreamDuration {
			continue // not a stream's route
		}
		need, count := d.longest(now)
		longest = max(longest, need)
		ended += count
	}
	return longest, ended >= minSamples
}

// drainedBy estimates when no request runs any more, by the duration of the longest
// stream. The process ends then, and not later than at the end of its grace period.
func (s *shutdownState) drainedBy(now time.Time) time.Time {
	longest, enough := s.longestStream(now)
	if !enough {
		longest = max(longest, defaultStreamDuration)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := now
	for _, d := range s.byRoute {
		newest := d.lastArrival()
		if end := newest.Add(longest); !newest.IsZero() && end.After(drained) {
			drained = end
		}
	}
	if end := s.endsAt(); drained.After(end) {
		return end
	}
	return drained
}

// canFinish reports whether a request that begins now and takes the time need can be
// finished.
func (s *shutdownState) canFinish(now time.Time, need time.Duration) bool {
	return !s.begun() || now.Add(need).Before(s.endsAt())
}

// endsAfter reports whether the process ends after a deadline and the response to it.
func (s *shutdownState) endsAfter(deadline time.Time) bool {
	return !deadline.After(s.endsAt().Add(-responseMargin))
}

// capDeadline returns a plain request's deadline, but no later than responseMargin
// before the end of the process.
func (s *shutdownState) capDeadline(deadline time.Time) time.Time {
	if !s.begun() {
		return deadline
	}
	if last := s.endsAt().Add(-responseMargin); deadline.After(last) {
		return last
	}
	return deadline
}
