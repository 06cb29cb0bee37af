package nursery

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// Engine says what bounds a model engine. The zero value reads each prompt
// beside its streams, in the same short time, and has memory for all.
type Engine struct {
	// ReadLeast and ReadMost bound how long a prompt is read. One is read at a
	// time, and no stream of the engine gets an event meanwhile.
	ReadLeast, ReadMost time.Duration
	// Memory holds prompts, events and copies, in tokens. Without room a request
	// is refused; when running streams outgrow it, the newest is preempted.
	Memory int
}

const (
	// betweenPrompts is how long streams go on between two prompts: about ten
	// events. Without it a queue of prompts would stop all streams until its end.
	betweenPrompts = 80 * time.Millisecond
	// eventTokens is what one event adds to a stream's memory.
	eventTokens = 5
)

// engine is the memory and the processor of one start of a server.
type engine struct {
	reads chan struct{} // holds the one who reads a prompt

	mu      sync.Mutex
	prompts map[string]bool // that are kept, by their pieces
	is      Engine
	used    int    // tokens
	running []*run // in memory, the newest last
	waiting int    // preempted runs
	changed chan struct{}
	resumes time.Time // when the prompt that is being read has been read
}

// run is what a request takes of an engine.
type run struct {
	tokens    int
	preempted bool
}

func newEngine(is Engine) *engine {
	return &engine{is: is, prompts: map[string]bool{}, reads: make(chan struct{}, 1), changed: make(chan struct{})}
}

func (e *engine) set(is Engine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.is = is
	e.changedLocked()
}

func (e *engine) changedLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *engine) fits(tokens int) bool { return e.is.Memory <= 0 || e.used+tokens <= e.is.Memory }

// admit takes memory for a request; false if the engine is full. What goes on
// from a copy goes before the preempted, all else behind them.
func (e *engine) admit(tokens int, fromCopy bool) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fits(tokens) || (e.waiting > 0 && !fromCopy) {
		return nil, false
	}
	r := &run{tokens: tokens}
	e.enterLocked(r)
	return r, true
}

func (e *engine) enterLocked(r *run) {
	e.used += r.tokens
	e.running = append(e.running, r)
}

// leave gives a request's memory back.
func (e *engine) leave(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.preempted {
		e.waiting--
	} else {
		e.dropLocked(r)
	}
	e.changedLocked()
}

func (e *engine) dropLocked(r *run) {
	e.used -= r.tokens
	e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == r })
}

// hold takes memory for a copy. free gives it back; it is nil if the engine has
// memory for all.
func (e *engine) hold(tokens int) (free func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.is.Memory <= 0 {
		return nil, true
	}
	if !e.fits(tokens) {
		return nil, false
	}
	e.used += tokens
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.used -= tokens
		e.changedLocked()
	}), true
}

// step lets a stream make its next event: it waits for its memory, if that was
// taken, and for the prompt that is being read. False if the caller left.
func (e *engine) step(ctx context.Context, r *run, request string) bool {
	for {
		e.mu.Lock()
		preempted, rest := r.preempted, time.Until(e.resumes)
		if !preempted && rest <= 0 {
			e.growLocked(r)
			e.mu.Unlock()
			return true
		}
		e.mu.Unlock()
		if preempted && !e.comeBack(ctx, r, request) {
			return false
		}
		if !preempted && !sleep(ctx, rest) {
			return false
		}
	}
}

// growLocked adds an event. The newest streams are preempted until all fits
// again; one stream always goes on.
func (e *engine) growLocked(r *run) {
	r.tokens += eventTokens
	e.used += eventTokens
	for !e.fits(0) && len(e.running) > 1 {
		newest := e.running[len(e.running)-1]
		e.dropLocked(newest)
		newest.preempted = true
		e.waiting++
	}
}

// comeBack waits until a preempted stream has memory again and has been read again.
func (e *engine) comeBack(ctx context.Context, r *run, request string) bool {
	for {
		e.mu.Lock()
		changed := e.changed
		// Copies alone keep nobody out: two engines full of each other's would
		// wait for each other.
		back := e.fits(r.tokens) || len(e.running) == 0
		if back {
			e.waiting--
			r.preempted = false
			e.enterLocked(r)
		}
		e.mu.Unlock()
		if back {
			return e.read(ctx, request)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// read reads a request's prompt. False if its caller left meanwhile.
func (e *engine) read(ctx context.Context, request string) bool {
	e.mu.Lock()
	is := e.is
	e.mu.Unlock()
	if is.ReadMost <= 0 {
		time.Sleep(readPrompt)
		return true
	}
	select {
	case e.reads <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.reads }()
	if !sleep(ctx, betweenPrompts) {
		return false
	}
	took := is.readingTime(request)
	e.pauseUntil(time.Now().Add(took))
	read := sleep(ctx, took)
	e.pauseUntil(time.Now())
	return read
}

func (e *engine) pauseUntil(end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes = end
}

// readingTime is the same each time that a request is read.
func (is Engine) readingTime(request string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request))
	span := max(1, is.ReadMost-is.ReadLeast)
	return is.ReadLeast + time.Duration(hash.Sum64()%uint64(span))
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
