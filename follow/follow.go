package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/retry"
)

const (
	// answerWithin is how long an answer of the store is waited for, on top of a wait
	// there, before another question is put beside the one that is open.
	answerWithin = 500 * time.Millisecond
	// nextPage is how long the next part of an answer is waited for that has begun
	// to come, also over a squeezed link. With the pause after it the next question
	// must come within the time in which a change must be in force.
	nextPage = 1200 * time.Millisecond
	// retryPause is the shortest wait after a failure; with jitter it grows to
	// retryPause + maxPause. With answerWithin it bounds how late the store's return
	// is noticed, which must be well within the time in which a change must be in force.
	retryPause = 150 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// lostAfter is how many failures in a row are told as the store's loss: one
	// may be a connection that has gone silent.
	lostAfter = 2
)

// Share tells what other processes have read.
type Share interface {
	// Delegated returns for how long nothing needs to be read here.
	Delegated() time.Duration
	// Updates holds a token when another process has read something newer.
	Updates() <-chan struct{}
	// Wait returns how long a question waits at the store.
	Wait(alone time.Duration) time.Duration
	// Pause returns how long to wait after a failure, in place of the time given;
	// others: another loop asks the same store.
	Pause(d time.Duration, others bool) time.Duration
	// Read notes an answer that may be so old, Failed the lack of one.
	Read(age time.Duration)
	Failed()
}

// Outage is a time in which the store did not answer, as its return ends it.
type Outage struct {
	Failures int
	Away     time.Duration // since anybody confirmed what is known here
	Longest  time.Duration // that one question was waited for
}

// ErrUnanswered: a question has had no answer in time; it stays open.
var ErrUnanswered = errors.New("follow: the store has not answered in time")

// Loop follows one subject. A question that has had no answer in time stays
// open and another is put beside it.
//
// Questions beside each other need no patience that grows: a store that is slow answers
// the older one, a store that is back answers the newest.
//
// All funcs but Read and Next may be nil.
type Loop struct {
	// Read reads the subject whole; Next waits up to wait for a change. Several
	// may be on their way at once; what they return is called by Run alone.
	Read func(ctx context.Context) (Update, error)
	Next func(ctx context.Context, wait time.Duration) (Update, error)
	// MustRead tells whether a wait for changes would miss something.
	MustRead func() bool

	// MayDelegate tells whether others' word can stand for a question of this process's own.
	MayDelegate func() bool

	// Wait is how long a question waits at the store. A connection that went
	// silent is noticed this much later at most, plus half a second.
	Wait time.Duration
	// Pace is the shortest time between two questions.
	Pace time.Duration

	Share Share
	Turns *Turns // of all loops that ask the same store; may be nil
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
	open        *round        // the questions that may still be answered
	begun       bool          // there has been an answer
	stale       bool          // others have read since this process did
}

// Run follows until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.open = newRound(ctx)
	for ctx.Err() == nil {
		if l.delegated(ctx) {
			continue
		}
		began := time.Now()
		err := l.step(ctx)
		if err != nil {
			l.failed(ctx, err, time.Since(began))
			continue
		}
		_ = retry.Wait(ctx, l.Pace-time.Since(began))
	}
	return ctx.Err()
}

// step asks a question and waits for an answer, to it or to an earlier one.
func (l *Loop) step(ctx context.Context) error {
	q, patience := l.ask()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.heard:
			timer.Reset(nextPage)
		case <-timer.C:
			return ErrUnanswered
		case a := <-l.open.answers:
			l.open.over(a.question)
			if a.err == nil {
				l.answered(a)
				return nil
			}
			if a.question == q {
				return a.err
			}
		}
	}
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

// delegated waits while others' word stands for a question of this process's own.
func (l *Loop) delegated(ctx context.Context) bool {
	if l.Share == nil || !l.begun || (l.MayDelegate != nil && !l.MayDelegate()) {
		return false
	}
	wait := l.Share.Delegated()
	if wait <= 0 {
		return false
	}
	l.Turns.leave(l)
	l.stale = true
	l.confirmedAt.Store(time.Now().UnixNano())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.Share.Updates():
	}
	return true
}

// ask puts the next question and returns how long to wait for it. The whole
// subject is read where a wait for changes could sleep over one: at the start,
// after a failure, and after others have read.
func (l *Loop) ask() (q *question, patience time.Duration) {
	if !l.begun || l.stale || l.failures > 0 || (l.MustRead != nil && l.MustRead()) {
		return l.open.put(0, l.Read), answerWithin
	}
	wait := l.Wait
	if l.Share != nil {
		wait = l.Share.Wait(wait)
	}
	next := func(ctx context.Context) (Update, error) { return l.Next(ctx, wait) }
	return l.open.put(wait, next), wait + answerWithin
}

// answered takes an answer in; what else is asked is no longer needed.
func (l *Loop) answered(a answer) {
	l.open = l.open.renew()
	l.Turns.answered()
	a.take()
	if l.failures >= lostAfter && l.Regained != nil {
		l.Regained(Outage{Failures: l.failures, Away: l.Age(), Longest: l.longest})
	}
	l.failing.Store(false)
	l.confirmedAt.Store(time.Now().UnixNano())
	l.failures, l.longest, l.begun, l.stale = 0, 0, true, false
	if l.Share != nil {
		l.Share.Read(a.question.age(time.Now()))
	}
}

// failed notes that a question failed or is unanswered, and waits before the next one.
func (l *Loop) failed(ctx context.Context, err error, waited time.Duration) {
	if ctx.Err() != nil {
		return
	}
	l.failing.Store(true)
	l.failures++
	l.longest = max(l.longest, waited)
	l.failedAt.Store(time.Now().UnixNano())
	if l.failures == lostAfter && l.Lost != nil {
		l.Lost(err)
	}
	if l.Share != nil {
		l.Share.Failed()
	}
	if l.Failed != nil {
		// Beside the pause: peers that don't answer must not hold the next question up.
		go l.Failed(ctx)
	}
	l.pause(ctx, retry.BackoffBetween(retryPause, maxPause, l.failures))
}

// pause waits, and until another loop that asks the same store has an answer, but not
// longer than for an answer to a question that is still open.
func (l *Loop) pause(ctx context.Context, d time.Duration) {
	back := l.Turns.take(l)
	switch {
	case back != nil:
		d = turnTimeout
	case l.Turns != nil:
		d = min(d, turnPause)
	}
	var updates <-chan struct{}
	if l.Share != nil {
		d, updates = l.Share.Pause(d, back != nil), l.Share.Updates()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-back:
			return
		case <-updates:
			return
		case a := <-l.open.answers:
			l.open.over(a.question)
			if a.err == nil {
				l.answered(a)
				_ = retry.Wait(ctx, l.Pace)
				return
			}
		}
	}
}
