package entry

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// stopping tells what a process may still take on once a planned stop has
// begun. A stream that is cut when the grace period ends comes back late at
// its caller; one refused at once goes to another process and is in time.
type stopping struct {
	end atomic.Int64 // steady nanoseconds since start; 0: no stop has begun
	at  time.Time

	mu        sync.Mutex
	durations [durationSamples]time.Duration
	next      int
}

const (
	// durationSamples is how many streams the expected time is taken from.
	durationSamples = 32
	// defaultDuration is assumed before any stream has ended.
	defaultDuration = 7 * time.Second
	// durationQuantile of the last streams is what the next one may need.
	durationQuantile = 0.8
	// plainNeed is what a plain call needs in all but one case in a hundred,
	// with finalMargin.
	plainNeed = 800 * time.Millisecond
	// finalMargin is kept free at the end for plain answers to get out.
	finalMargin = 300 * time.Millisecond
)

func newStopping() *stopping { return &stopping{at: time.Now()} }

// begin notes that the process ends at end.
func (s *stopping) begin(end time.Time) { s.end.Store(int64(end.Sub(s.at))) }

func (s *stopping) begun() bool { return s.end.Load() != 0 }

func (s *stopping) endsAt() time.Time { return s.at.Add(time.Duration(s.end.Load())) }

// took notes how long a stream took.
func (s *stopping) took(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations[s.next%durationSamples] = d
	s.next++
}

// need returns the time that the next stream may take.
func (s *stopping) need() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(s.next, durationSamples)
	if n == 0 {
		return defaultDuration
	}
	sorted := slices.Sorted(slices.Values(s.durations[:n]))
	return sorted[int(durationQuantile*float64(n-1))]
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
