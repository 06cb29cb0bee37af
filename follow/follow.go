// Package follow keeps a process up with something that lies in the platform's
// store: it reads it, waits for changes, notices a connection that has gone
// silent, backs off from a store that fails, and lets a few processes read for
// all. What is read is the caller's matter.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/retry"
)

const (
	// Answer is what an answer of the store may take, on top of a wait there. It
	// is many times what one takes on a link of 10 Mbit/s.
	Answer = 500 * time.Millisecond
	// maxGrace bounds the grace for a store that is slow but answers.
	maxGrace = 4 * time.Second
	// retryPause is the shortest wait after a failure; with jitter it grows to
	// retryPause + maxPause. Calls are priced, refused ones too.
	retryPause = 150 * time.Millisecond
	maxPause   = 600 * time.Millisecond
	// lostAfter is how many failures in a row are told as the store's loss: one
	// may be a connection that has gone silent.
	lostAfter = 2
)

// Share tells what other processes have read.
type Share interface {
	// Covered returns for how long nothing needs to be read.
	Covered() time.Duration
	// News holds a token when another process has read something newer.
	News() <-chan struct{}
	// Wait returns how long a question waits at the store.
	Wait(alone time.Duration) time.Duration
	// Read notes an answer to a question asked at began, Failed the lack of one.
	Read(began time.Time)
	Failed()
}

// Outage is a time in which the store did not answer, as its return ends it.
type Outage struct {
	Failures int
	Away     time.Duration // since anybody confirmed what is known here
	Longest  time.Duration // that one question was waited for
}

// Loop follows one subject. All funcs but Read and Next may be nil.
type Loop struct {
	// Read reads the subject whole, and may take each of the store's answers for
	// so long; Next waits up to wait for a change.
	Read func(ctx context.Context, answer time.Duration) error
	Next func(ctx context.Context, wait time.Duration) error
	// MustRead tells whether a wait for changes would miss something.
	MustRead func() bool

	// MayCover tells whether others' word can stand for a question of this process's own.
	MayCover func() bool

	// Wait is how long a question waits at the store. A connection that went
	// silent is noticed this much later at most, plus half a second.
	Wait time.Duration
	// Pace is the shortest time between two questions.
	Pace time.Duration

	Share Share
	// Failed is called after each failure; it may ask peers.
	Failed func(ctx context.Context)
	// Lost and Regained tell of the store's loss and return.
	Lost     func(err error)
	Regained func(o Outage)

	confirmedAt atomic.Int64 // Unix nanoseconds of the newest answer or word of others
	failing     atomic.Bool
	failedAt    atomic.Int64 // Unix nanoseconds of the newest failure; 0: none
	failures    int
	longest     time.Duration // that a question was waited for since the newest answer
	grace       time.Duration
	begun       bool // there has been an answer
	stale       bool // others have read since this process did
}

// Run follows until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.grace = Answer
	for ctx.Err() == nil {
		if l.covered(ctx) {
			continue
		}
		began := time.Now()
		err := l.ask(ctx)
		if err != nil {
			l.longest = max(l.longest, time.Since(began))
			l.failed(ctx, err)
			continue
		}
		l.answered(began)
		_ = retry.Wait(ctx, l.Pace-time.Since(began))
	}
	return ctx.Err()
}

// Age returns for how long neither the store nor others have confirmed what is
// known here; it may be called from anywhere.
func (l *Loop) Age() time.Duration { return time.Since(time.Unix(0, l.confirmedAt.Load())) }

// Failing tells whether the newest question failed; it may be called from anywhere.
func (l *Loop) Failing() bool { return l.failing.Load() }

// FailedWithin tells whether the store has failed at most d ago; it may be
// called from anywhere.
func (l *Loop) FailedWithin(d time.Duration) bool {
	at := l.failedAt.Load()
	return l.Failing() || (at != 0 && time.Since(time.Unix(0, at)) < d)
}

// covered waits while others' word stands for a question of this process's own.
func (l *Loop) covered(ctx context.Context) bool {
	if l.Share == nil || !l.begun || (l.MayCover != nil && !l.MayCover()) {
		return false
	}
	wait := l.Share.Covered()
	if wait <= 0 {
		return false
	}
	l.stale = true
	l.confirmedAt.Store(time.Now().UnixNano())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.Share.News():
	}
	return true
}

// ask reads the whole subject where a wait for changes could sleep over one:
// at the start, after a failure, and after others have read.
func (l *Loop) ask(ctx context.Context) error {
	if !l.begun || l.stale || l.failures > 0 || (l.MustRead != nil && l.MustRead()) {
		return l.Read(ctx, l.grace)
	}
	wait := l.Wait
	if l.Share != nil {
		wait = l.Share.Wait(wait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+l.grace)
	defer cancel()
	return l.Next(ctx, wait)
}

func (l *Loop) answered(began time.Time) {
	if l.failures >= lostAfter && l.Regained != nil {
		l.Regained(Outage{Failures: l.failures, Away: l.Age(), Longest: l.longest})
	}
	l.failing.Store(false)
	l.confirmedAt.Store(time.Now().UnixNano())
	l.failures, l.longest, l.begun, l.stale = 0, 0, true, false
	l.grace = max(Answer, l.grace/2)
	if l.Share != nil {
		l.Share.Read(began)
	}
}

func (l *Loop) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.failing.Store(true)
	l.failures++
	l.failedAt.Store(time.Now().UnixNano())
	l.grace = min(maxGrace, l.grace*2)
	if l.failures == lostAfter && l.Lost != nil {
		l.Lost(err)
	}
	if l.Share != nil {
		l.Share.Failed()
	}
	if l.Failed != nil {
		l.Failed(ctx)
	}
	_ = retry.Wait(ctx, retry.BackoffBetween(retryPause, maxPause, l.failures))
}
