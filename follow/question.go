package follow

import (
	"context"
	"net/http/httptrace"
	"time"
)

// Take puts in force what an answer said.
type Take func()

const (
	// questionLife is how long a question stays open after the last sign that an
	// answer is coming, on top of its wait at the store. It is for a store that is
	// slow but answers.
	questionLife = 4 * time.Second
	// openQuestions is above the number that can be open at a time: one each 0.65 s
	// within questionLife and the longest wait.
	openQuestions = 16
)

// question is one call to the store, or several that read one subject.
type question struct {
	began time.Time
	heard chan struct{} // holds a token after the first byte of an answer
}

// answer is what came of a question.
type answer struct {
	question *question
	take     Take
	err      error
}

// round holds the questions of which one answer is enough.
type round struct {
	parent  context.Context
	ctx     context.Context
	cancel  context.CancelFunc
	answers chan answer
}

func newRound(parent context.Context) *round {
	r := &round{parent: parent, answers: make(chan answer, openQuestions)}
	r.ctx, r.cancel = context.WithCancel(parent)
	return r
}

// renew gives up the questions that are open.
func (r *round) renew() *round {
	r.cancel()
	return newRound(r.parent)
}

// put asks a question that waits up to wait at the store.
func (r *round) put(wait time.Duration, ask func(context.Context) (Take, error)) *question {
	q := &question{began: time.Now(), heard: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(r.ctx)
	life := time.AfterFunc(wait+questionLife, cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		life.Reset(questionLife)
		select {
		case q.heard <- struct{}{}:
		default:
		}
	}})
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
