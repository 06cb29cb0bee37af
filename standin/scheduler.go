package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/types"
)

// poisonMarker is a text in a prompt that crashes any engine that runs the request.
const poisonMarker = "POISON"

// job is one request in an engine.
type job struct {
	ctx        context.Context
	request    engine.Request
	state      chain
	firstToken bool // the next token is the first of its generation
	poisoned   bool
	produced   int           // tokens, without those of the request's Emitted
	result     engine.Result // Finish is set once the job has ended
	ready      chan struct{} // holds one signal: pending or result changed

	mu      sync.Mutex // guards pending and ended
	pending []types.Token
	ended   bool
}

func newJob(ctx context.Context, request engine.Request) *job {
	return &job{
		ctx:        ctx,
		request:    request,
		state:      chainAfter(request.Prompt, request.Emitted),
		firstToken: len(request.Emitted) == 0,
		poisoned:   strings.Contains(request.Prompt, poisonMarker),
		ready:      make(chan struct{}, 1),
	}
}

// takePending returns the tokens produced since the last call and whether the job
// has ended.
func (j *job) takePending() ([]types.Token, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	tokens := j.pending
	j.pending = nil
	return tokens, j.ended
}

// deliver passes tokens to the goroutine that writes the response.
func (j *job) deliver(ended bool, tokens ...types.Token) {
	j.mu.Lock()
	j.pending = append(j.pending, tokens...)
	j.ended = ended
	j.mu.Unlock()
	select {
	case j.ready <- struct{}{}:
	default:
	}
}

func (j *job) nextToken() types.Token {
	id := j.state.next()
	if j.firstToken {
		id, j.firstToken = randomTokenID(), false
	}
	j.state = j.state.add(id)
	j.produced++
	return types.Token{ID: id, Text: TokenText(id)}
}

// submit queues a job behind those of the same or higher priority; it returns
// false if the queue is full.
func (e *Engine) submit(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= e.opts.MaxQueue {
		e.counters.Refused++
		return false
	}
	at := len(e.queue)
	for at > 0 && e.queue[at-1].request.Priority < j.request.Priority {
		at--
	}
	e.queue = slices.Insert(e.queue, at, j)
	if !e.scheduling {
		e.scheduling = true
		go e.schedule()
	}
	return true
}

// schedule runs steps until there is no work left; submit starts it again.
func (e *Engine) schedule() {
	for {
		step, busy := e.admit()
		if !busy {
			return
		}
		if step > 0 {
			time.Sleep(step)
		}
		e.conns.awaitThaw(nil)
		e.awaitRelease()
		if e.step() {
			e.Crash()
		}
	}
}

// admit drops cancelled jobs, fills the batch and returns the duration of the next
// step and whether there is any work.
func (e *Engine) admit() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = slices.DeleteFunc(e.queue, e.cancelled)
	e.running = slices.DeleteFunc(e.running, e.cancelled)
	prefilled := 0
	for len(e.running) < e.opts.Capacity && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		j.result.PrefilledTokens = e.cache.prefill(engine.PrefixOf(j.request.Prompt, j.request.Emitted))
		prefilled += j.result.PrefilledTokens
		e.running = append(e.running, j)
		e.counters.Requests++
	}
	e.counters.Prefilled += uint64(prefilled)
	e.recordLoad()
	e.scheduling = len(e.running) > 0
	return e.stepTime(prefilled), e.scheduling
}

func (e *Engine) cancelled(j *job) bool {
	if j.ctx.Err() == nil {
		return false
	}
	e.counters.Cancelled++
	return true
}

// step gives each running job one token and reports whether a poisoned job crashed
// the engine.
func (e *Engine) step() (crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.running {
		if j.poisoned && j.produced >= e.opts.PoisonAfter {
			return true
		}
	}
	e.running = slices.DeleteFunc(e.running, e.produce)
	return false
}

// produce gives a job its next token and reports whether its answer has ended. A
// resumed answer may already be complete, if the previous engine died between its
// last token and the finish line; it gets no further token.
func (e *Engine) produce(j *job) (ended bool) {
	if j.result.Finish = e.finishReason(j); j.result.Finish != "" {
		j.deliver(true)
		return true
	}
	token := j.nextToken()
	e.counters.Tokens++
	j.result.Finish = e.finishReason(j)
	ended = j.result.Finish != ""
	j.deliver(ended, token)
	return ended
}
