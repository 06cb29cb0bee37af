package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/site"
)

// stopping tells what a process may still take on once a planned stop has
// begun. A stream that is cut when the grace period ends comes back late at
// its caller; one refused at once goes to another process and is in time.
//
// Invariant: what is taken can be finished before the process ends, by the
// longest of the requests like it.
type stopping struct {
	end   atomic.Int64 // steady nanoseconds since at; 0: no stop has begun
	began atomic.Int64 // the same, of its beginning
	at    time.Time

	mu      sync.Mutex
	byRoute map[routeKind]*durations // how long requests of a route take
}

// routeKind tells routes apart: names may be missing, and then streams must not
// be judged by plain calls.
type routeKind struct {
	name string
	kind site.Kind
}

const (
	// streamUnknown is assumed of streams before enough have ended.
	streamUnknown = 7 * time.Second
	// plainNeed is what a plain call needs in all but one case in a hundred,
	// with finalMargin; none is taken with less.
	plainNeed = 800 * time.Millisecond
	// lateInStop is how long after a stop has begun streams are taken by what others
	// like them took. Callers come for rotationTime, and what takes them out of the
	// rotation may be a look late; who comes after that comes to a process that has
	// long said that it isn't ready.
	lateInStop = rotationTime + 400*time.Millisecond
	// finalMargin is kept free at the end for plain answers to get out.
	finalMargin = 300 * time.Millisecond
)

func newStopping() *stopping {
	return &stopping{at: time.Now(), byRoute: map[routeKind]*durations{}}
}

// maxRoutes is how many routes are known at a time: more than a configuration
// has. Routes come and go with configurations; past it all are learned anew.
const maxRoutes = 4096

// of returns how long requests of a route take. Routes differ too much to share samples.
func (s *stopping) of(r *site.Route) *durations {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := routeKind{r.Name, r.Kind}
	d := s.byRoute[key]
	if d != nil {
		return d
	}
	if len(s.byRoute) >= maxRoutes {
		clear(s.byRoute)
	}
	unknown := plainNeed
	if r.Kind == site.Stream {
		unknown = streamUnknown
	}
	d = newDurations(unknown)
	s.byRoute[key] = d
	return d
}

// begin notes that a stop begins now and the process ends at end.
func (s *stopping) begin(end time.Time) {
	s.began.Store(int64(time.Since(s.at)))
	s.end.Store(int64(end.Sub(s.at)))
}

// late tells whether the stop has gone on for so long that only what is sure to
// end before the process is taken.
//
// No measure of streams that have ended bounds the next one.
func (s *stopping) late(now time.Time) bool {
	return s.begun() && now.Sub(s.at)-time.Duration(s.began.Load()) > lateInStop
}

func (s *stopping) begun() bool { return s.end.Load() != 0 }

func (s *stopping) endsAt() time.Time { return s.at.Add(time.Duration(s.end.Load())) }

// length returns how long a stop may take from its beginning to the process's end.
func (s *stopping) length() time.Duration { return time.Duration(s.end.Load() - s.began.Load()) }

// need returns the time that the next request of a route may take. As long as
// too few of the route's own have ended, the longest of all streams stands for a
// stream: after a restart, with a few routes, streams were refused for most of
// the next stop that any other route's would have let in.
func (s *stopping) need(r *site.Route, now time.Time) time.Duration {
	own := s.of(r)
	if r.Kind != site.Stream {
		return max(plainNeed, own.need(now)+finalMargin)
	}
	if longest, enough := s.longestStream(now); enough && !own.enough() {
		return longest
	}
	return own.need(now)
}

// longestStream returns the longest that streams of any route need, and whether
// enough of them have ended.
func (s *stopping) longestStream(now time.Time) (longest time.Duration, enough bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := 0
	for _, d := range s.byRoute {
		if d.unknown != streamUnknown {
			continue
		}
		need, count := d.known(now)
		longest = max(longest, need)
		ended += count
	}
	return longest, ended >= enoughSamples
}

// drainedBy returns when nothing runs here any more, as far as the longest that
// streams take tells; the process ends then, and not later than its grace.
func (s *stopping) drainedBy(now time.Time) time.Time {
	longest, enough := s.longestStream(now)
	if !enough {
		longest = max(longest, streamUnknown)
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

// leavesTime tells whether a request that begins now and takes that long can be
// finished.
func (s *stopping) leavesTime(now time.Time, need time.Duration) bool {
	return !s.begun() || now.Add(need).Before(s.endsAt())
}

// bound shortens a plain request's time to that of the process.
func (s *stopping) bound(until time.Time) time.Time {
	if !s.begun() {
		return until
	}
	if last := s.endsAt().Add(-finalMargin); until.After(last) {
		return last
	}
	return until
}
