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

// poisonMark is what a prompt contains that crashes whichever engine runs it.
const poisonMark = "POISON"

// job is one request in the engine.
type job struct {
	ctx      context.Context
	request  engine.Request
	state    chain
	fresh    bool // the next token is the first of a generation
	poisoned bool
	produced int
	result   engine.Result // Finish is set once the job has ended
	ready    chan struct{} // holds one signal: pending or result changed

	mu      sync.Mutex // guards pending and ended
	pending []types.Token
	ended   bool
}

func newJob(ctx context.Context, request engine.Request) *job {
	return &job{
		ctx:      ctx,
		request:  request,
		state:    chainOf(request.Prompt, request.Emitted),
		fresh:    len(request.Emitted) == 0,
		poisoned: strings.Contains(request.Prompt, poisonMark),
		ready:    make(chan struct{}, 1),
	}
}

// take returns the tokens produced since the last call and whether they were all.
func (j *job) take() ([]types.Token, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	tokens := j.pending
	j.pending = nil
	return tokens, j.ended
}

func (j *job) give(ended bool, tokens ...types.Token) {
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
	if j.fresh {
		id, j.fresh = firstID(), false
	}
	j.state = j.state.add(id)
	j.produced++
	return types.Token{ID: id, Text: TokenText(id)}
}

// submit queues a job behind those of its priority and higher; false if full.
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
	if !e.stepping {
		e.stepping = true
		go e.schedule()
	}
	return true
}

// schedule steps the batch until there is no work; submit starts it again.
func (e *Engine) schedule() {
	for {
		step, busy := e.admit()
		if !busy {
			return
		}
		if step > 0 {
			time.Sleep(step)
		}
		e.connect.awaitThaw(nil)
		e.awaitRelease()
		if e.step() {
			e.Crash()
		}
	}
}

// admit drops cancelled jobs, fills the batch and returns the time of the step.
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
	e.report()
	e.stepping = len(e.running) > 0
	return e.stepTime(prefilled), e.stepping
}

func (e *Engine) cancelled(j *job) bool {
	if j.ctx.Err() == nil {
		return false
	}
	e.counters.Cancelled++
	return true
}

// step gives each running job one token and reports whether one of them
// crashed the engine.
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

// produce gives a job its next token and reports whether its answer has ended.
// A resume can ask for what ended already: the engine before died between its
// last token and the finish line. That answer gets no token more.
func (e *Engine) produce(j *job) (ended bool) {
	if j.result.Finish = e.finish(j); j.result.Finish != "" {
		j.give(true)
		return true
	}
	token := j.nextToken()
	e.counters.Tokens++
	j.result.Finish = e.finish(j)
	ended = j.result.Finish != ""
	j.give(ended, token)
	return ended
}
