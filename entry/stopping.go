package entry

import (
	"sync/atomic"
	"time"
)

// stopping tells what a process may still take on once a planned stop has
// begun. A stream that is cut when the grace period ends comes back late at
// its caller; one refused at once goes to another process and is in time.
//
// Invariant: what is taken can be finished before the process ends, by the
// longest of the requests like it.
type stopping struct {
	end atomic.Int64 // steady nanoseconds since at; 0: no stop has begun
	at  time.Time

	streams *durations
	calls   *durations
}

const (
	// streamUnknown is assumed of streams before enough have ended: a second for
	// the prompt, a second for one read before it, and 130 events of 36 ms.
	streamUnknown = 7 * time.Second
	// plainNeed is what a plain call needs in all but one case in a hundred,
	// with finalMargin; none is taken with less.
	plainNeed = 800 * time.Millisecond
	// finalMargin is kept free at the end for plain answers to get out.
	finalMargin = 300 * time.Millisecond
)

func newStopping() *stopping {
	return &stopping{at: time.Now(), streams: newDurations(streamUnknown), calls: newDurations(plainNeed)}
}

// begin notes that the process ends at end.
func (s *stopping) begin(end time.Time) { s.end.Store(int64(end.Sub(s.at))) }

func (s *stopping) begun() bool { return s.end.Load() != 0 }

func (s *stopping) endsAt() time.Time { return s.at.Add(time.Duration(s.end.Load())) }

// streamNeed returns the time that the next stream may take.
func (s *stopping) streamNeed(now time.Time) time.Duration { return s.streams.need(now) }

// callNeed returns the time that the next plain call may take.
func (s *stopping) callNeed(now time.Time) time.Duration {
	return max(plainNeed, s.calls.need(now)+finalMargin)
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
