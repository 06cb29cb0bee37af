package router

import (
	"sync"
	"time"
)

// secondLook is how long a read that has been silent for too long may still
// bring a frame.
const secondLook = 25 * time.Millisecond

// silence ends a read that brings nothing for too long.
//
// Failure it stops: a router that was frozen finds, when it goes on, both a
// timer that ran out and frames that came meanwhile; its engine is well, and a
// resume would cost a prefill for nothing. So the timer that runs out first
// only starts another one, and a frame that is there is read before that ends.
type silence struct {
	limit  time.Duration
	giveUp func()

	mu    sync.Mutex // guards all below
	timer *time.Timer
	armed bool      // a read is waiting
	begun time.Time // when it began
	again bool      // the timer ran out once in this read
	over  bool      // giveUp was called
}

// watch sets what ends a read, and when.
func (s *silence) watch(limit time.Duration, giveUp func()) {
	s.limit, s.giveUp = limit, giveUp
	s.timer = time.AfterFunc(limit, s.ranOut)
	s.timer.Stop()
}

func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed, s.again, s.begun = true, false, time.Now()
	s.timer.Reset(s.limit - secondLook)
}

func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = false
	s.timer.Stop()
}

func (s *silence) ranOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.armed || time.Since(s.begun) < s.limit-secondLook:
		// The timer ran out for the read before, which has ended meanwhile.
	case !s.again:
		s.again = true
		s.timer.Reset(secondLook)
	default:
		s.over = true
		s.giveUp()
	}
}

func (s *silence) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}
