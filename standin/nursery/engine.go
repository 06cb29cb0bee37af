package nursery

import (
	"context"
	"hash/fnv"
	"sync"
	"time"
)

// EngineLimits holds the limits of a simulated model engine. The zero value prefills
// each prompt in the same short time without pausing other streams, and has
// unlimited memory.
type EngineLimits struct {
	// MinPrefill and MaxPrefill bound the prefill time of a prompt. Prompts are
	// prefilled one at a time, and no stream of the engine produces events
	// meanwhile.
	MinPrefill, MaxPrefill time.Duration
	// Memory is the space for prompts, events and KV copies, in tokens; 0 means
	// unlimited. A request that doesn't fit waits or is refused. When running requests
	// outgrow the memory, the newest of the least urgent ones is preempted.
	Memory int
	// Places is how many requests run at a time; 0 means unlimited.
	Places int
	// Queue is how many requests wait for memory or a place, the most urgent first; more
	// are refused.
	Queue int
}

const (
	// prefillGap is the time for which streams run between two prefills, about ten
	// events. Without it, a queue of prompts would stop all streams until the queue
	// is empty.
	prefillGap = 80 * time.Millisecond
	// EventTokens is the memory that one event adds to a stream.
	EventTokens = 5
)

// engine simulates the memory and the compute of one incarnation of a server.
type engine struct {
	version     string        // of the software; events name it
	prefillSlot chan struct{} // semaphore of size 1, held during a prefill
	// disturbed returns how long work takes at this moment. onPreempt is called when a
	// request is preempted.
	disturbed func(time.Duration) time.Duration
	onPreempt func()

	mu            sync.Mutex      // guards the fields below
	cachedPrompts map[string]bool // by the parts of the prompt, see promptParts
	limits        EngineLimits
	used          int           // memory in use by requests and KV copies, in tokens
	running       []*allocation // of requests that hold memory, the newest last
	waiting       []*allocation // of preempted and of new requests, which hold nothing
	arrivals      int           // requests so far
	changed       chan struct{} // closed and replaced when memory is freed or the limits change
	prefillEnd    time.Time     // streams are paused until then
}

func newEngine(limits EngineLimits, version string) *engine {
	return &engine{
		version: version, limits: limits, cachedPrompts: map[string]bool{}, prefillSlot: make(chan struct{}, 1), changed: make(chan struct{}),
		disturbed: func(d time.Duration) time.Duration { return d }, onPreempt: func() {},
	}
}

func (e *engine) setLimits(limits EngineLimits) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = limits
	e.notifyChangedLocked()
}

func (e *engine) notifyChangedLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *engine) fitsLocked(tokens int) bool {
	return e.limits.Memory <= 0 || e.used+tokens <= e.limits.Memory
}

// reserveCopy allocates memory for a KV copy. free releases it; it is nil if the
// engine's memory is unlimited.
func (e *engine) reserveCopy(tokens int) (free func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.Memory <= 0 {
		return nil, true
	}
	if !e.fitsLocked(tokens) {
		return nil, false
	}
	e.used += tokens
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.used -= tokens
		e.notifyChangedLocked()
	}), true
}

// step blocks until a stream may produce its next event: until a preempted
// stream has memory again and no prefill is running. It returns false if the
// caller disconnected.
func (e *engine) step(ctx context.Context, a *allocation, request string) bool {
	for {
		e.mu.Lock()
		preempted, pause := a.preempted, time.Until(e.prefillEnd)
		if !preempted && pause <= 0 {
			e.growLocked(a)
			e.mu.Unlock()
			return true
		}
		e.mu.Unlock()
		if preempted && !e.readmit(ctx, a, request) {
			return false
		}
		if !preempted && !sleep(ctx, pause) {
			return false
		}
	}
}

// prefill simulates the prefill of a request's prompt. It returns false if the
// caller disconnected meanwhile.
func (e *engine) prefill(ctx context.Context, request string) bool {
	e.mu.Lock()
	limits := e.limits
	e.mu.Unlock()
	if limits.MaxPrefill <= 0 {
		return sleep(ctx, e.disturbed(defaultPrefill))
	}
	select {
	case e.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.prefillSlot }()
	if !sleep(ctx, prefillGap) {
		return false
	}
	duration := e.disturbed(limits.prefillTime(request))
	e.pauseStreamsUntil(time.Now().Add(duration))
	finished := sleep(ctx, duration)
	e.pauseStreamsUntil(time.Now())
	return finished
}

func (e *engine) pauseStreamsUntil(end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefillEnd = end
}

// prefillTime derives the prefill time from the request's Attempt-Id, so that each
// prefill of the same request takes the same time.
func (limits EngineLimits) prefillTime(request string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request))
	span := max(1, limits.MaxPrefill-limits.MinPrefill)
	return limits.MinPrefill + time.Duration(hash.Sum64()%uint64(span))
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
