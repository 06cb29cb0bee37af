package follow

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Update puts in force what an answer said.
type Update func()

const (
	// questionLife is how long a question stays open after the last sign that an
	// answer is coming, on top of its wait at the store. It is for a store that is
	// slow but answers.
	questionLife = 4 * time.Second
	// openQuestions is how many questions are open at a time: one whose answer may
	// be coming, and one to learn whether it is lost. More would share a link that
	// is squeezed until no answer ever comes whole: of a list that takes 0.7 s a
	// page alone none came in 30 s where each half second put another beside it.
	openQuestions = 2
	// waitingAnswers is above the number of questions that end in a round before
	// Run looks: they are given up one at a time.
	waitingAnswers = 8
)

// question is one call to the store, or several that read one subject.
type question struct {
	began  time.Time
	wait   time.Duration
	heard  chan struct{} // holds a token after the first byte of an answer
	coming atomic.Bool   // there has been such a byte
	cancel context.CancelFunc
}

// age returns how old what an answer says may be. While a question waits, the
// store answers with the moment's state; after it, the answer was on its way.
// Both clocks are asked: the steady one stands still while this VM is suspended.
func (q *question) age(now time.Time) time.Duration {
	taken := max(now.Sub(q.began), now.Round(0).Sub(q.began.Round(0)))
	return max(0, taken-q.wait)
}

// answer is what came of a question.
type answer struct {
	question *question
	take     Update
	err      error
}

// round holds the questions of which one answer is enough. Only Run uses it.
type round struct {
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	open    []*question // oldest first
	answers chan answer
}

func newRound(parent context.Context) *round {
	r := &round{parent: parent, answers: make(chan answer, waitingAnswers)}
	r.ctx, r.cancel = context.WithCancel(parent)
	return r
}

// renew gives up the questions that are open.
func (r *round) renew() *round {
	r.cancel()
	return newRound(r.parent)
}

// over takes a question that has ended out of the open ones.
func (r *round) over(q *question) {
	for i, open := range r.open {
		if open == q {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// makeRoom gives up a question if there are too many: the newest, unless its
// answer is coming and the older one's is not.
func (r *round) makeRoom() {
	if len(r.open) < openQuestions {
		return
	}
	oldest, newest := r.open[0], r.open[len(r.open)-1]
	given := newest
	if newest.coming.Load() && !oldest.coming.Load() {
		given = oldest
	}
	given.cancel()
	r.over(given)
}

// put asks a question that waits up to wait at the store.
func (r *round) put(wait time.Duration, ask func(context.Context) (Update, error)) *question {
	r.makeRoom()
	q := &question{began: time.Now(), wait: wait, heard: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(r.ctx)
	q.cancel = cancel
	life := time.AfterFunc(wait+questionLife, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		life.Reset(questionLife)
		q.coming.Store(true)
		select {
		case q.heard <- struct{}{}:
		default:
		}
	}})
	r.open = append(r.open, q)
	go func() {
		take, err := ask(ctx)
		life.Stop()
		cancel()
		select {
		case r.answers <- answer{q, take, err}:
		case <-r.ctx.Done():
		}
	}()
	return q
}
