package router

import (
	"sync"
	"time"
)

// silenceGrace is how long a read may still bring a frame after its timer has fired.
const silenceGrace = 25 * time.Millisecond

// silenceTimer ends a read that brings nothing for too long.
//
// A router that was frozen finds, when it resumes, both an expired timer and frames
// that arrived in the meantime. Its engine is healthy, and a resume would waste a
// prefill. So the first expiry only starts a short grace period, in which a frame
// that is already there is read.
type silenceTimer struct {
	limit     time.Duration
	onTimeout func()

	mu        sync.Mutex // guards all below
	timer     *time.Timer
	reading   bool      // a read is waiting
	readBegan time.Time // when the read began
	inGrace   bool      // the timer has fired once during this read
	timedOut  bool      // onTimeout was called
}

// setTimeout sets the timeout of reads and what to call when it expires.
func (s *silenceTimer) setTimeout(limit time.Duration, onTimeout func()) {
	s.limit, s.onTimeout = limit, onTimeout
	s.timer = time.AfterFunc(limit, s.timerFired)
	s.timer.Stop()
}

func (s *silenceTimer) beginRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading, s.inGrace, s.readBegan = true, false, time.Now()
	s.timer.Reset(s.limit - silenceGrace)
}

func (s *silenceTimer) endRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	s.timer.Stop()
}

func (s *silenceTimer) timerFired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.reading || time.Since(s.readBegan) < s.limit-silenceGrace:
		// The timer fired for an earlier read, which has ended in the meantime.
	case !s.inGrace:
		s.inGrace = true
		s.timer.Reset(silenceGrace)
	default:
		s.timedOut = true
		s.onTimeout()
	}
}

func (s *silenceTimer) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timedOut
}
