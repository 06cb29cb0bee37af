package nursery

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
)

// neutralPriority is that of a request without a Request-Priority header.
const neutralPriority = 5

// requestPriority returns the priority of a request, 0 for the most urgent ones.
func requestPriority(r *http.Request) int {
	if n, err := strconv.Atoi(r.Header.Get("Request-Priority")); err == nil {
		return n
	}
	return neutralPriority
}

// allocation is the memory and the place that a request holds or waits for.
type allocation struct {
	tokens, priority int
	arrival          int // requests that came before it
	preempted        bool
}

// compareTurns orders waiting requests, the one whose turn comes first before the others.
func compareTurns(a, b *allocation) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

// admit allocates memory and a place for a request; it returns false if the engine and its
// queue are full, or if ctx ends while the request waits. A request that resumes from a KV
// copy takes precedence over those that wait, but doesn't wait itself. A new request
// preempts no other, also if it is more urgent.
func (e *engine) admit(ctx context.Context, tokens, priority int, fromCopy bool) (*allocation, bool) {
	e.mu.Lock()
	e.arrivals++
	a := &allocation{tokens: tokens, priority: priority, arrival: e.arrivals}
	tooLarge := e.limits.Memory > 0 && tokens > e.limits.Memory
	switch {
	case e.admitsLocked(tokens) && (fromCopy || e.isNextLocked(a)):
		e.addLocked(a)
		e.mu.Unlock()
		return a, true
	case fromCopy || tooLarge || e.queuedLocked() >= e.limits.Queue:
		e.mu.Unlock()
		return nil, false
	}
	e.waiting = append(e.waiting, a)
	e.mu.Unlock()
	if !e.awaitTurn(ctx, a) {
		e.release(a)
		return nil, false
	}
	return a, true
}

// queues reports whether requests may wait for memory or a place.
func (e *engine) queues() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits.Queue > 0
}

// load returns how many requests run and wait.
func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), len(e.waiting)
}

// queuedLocked returns how many new requests wait.
func (e *engine) queuedLocked() int {
	queued := 0
	for _, a := range e.waiting {
		if !a.preempted {
			queued++
		}
	}
	return queued
}

// isNextLocked reports whether no other waiting request has its turn before a.
func (e *engine) isNextLocked(a *allocation) bool {
	return !slices.ContainsFunc(e.waiting, func(x *allocation) bool { return compareTurns(x, a) < 0 })
}

// admitsLocked reports whether there is memory and a place for a request.
func (e *engine) admitsLocked(tokens int) bool {
	return e.fitsLocked(tokens) && (e.limits.Places <= 0 || len(e.running) < e.limits.Places)
}

func (e *engine) addLocked(a *allocation) {
	e.used += a.tokens
	e.running = append(e.running, a)
}

// release frees what a request holds or ends its waiting.
func (e *engine) release(a *allocation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopWaitingLocked(a) {
		e.removeLocked(a)
	}
	e.notifyChangedLocked()
}

// stopWaitingLocked reports whether a request was waiting, and ends that.
func (e *engine) stopWaitingLocked(a *allocation) bool {
	before := len(e.waiting)
	e.waiting = slices.DeleteFunc(e.waiting, func(x *allocation) bool { return x == a })
	return len(e.waiting) < before
}

func (e *engine) removeLocked(a *allocation) {
	e.used -= a.tokens
	e.running = slices.DeleteFunc(e.running, func(x *allocation) bool { return x == a })
}

// growLocked adds the memory of one event. It preempts the newest of the least urgent
// requests until the rest fits again; one always keeps running.
func (e *engine) growLocked(a *allocation) {
	a.tokens += EventTokens
	e.used += EventTokens
	for !e.fitsLocked(0) && len(e.running) > 1 {
		last := e.running[0]
		for _, x := range e.running[1:] {
			if x.priority >= last.priority {
				last = x
			}
		}
		e.removeLocked(last)
		last.preempted = true
		e.waiting = append(e.waiting, last)
		e.onPreempt()
	}
}

// awaitTurn waits until a waiting request has memory and a place. It returns false if ctx
// ended first.
func (e *engine) awaitTurn(ctx context.Context, a *allocation) bool {
	for {
		e.mu.Lock()
		changed := e.changed
		// Copies alone never block a request. Otherwise two engines, each full of
		// the other's copies, would wait for each other forever.
		admitted := e.isNextLocked(a) && (e.admitsLocked(a.tokens) || len(e.running) == 0)
		if admitted {
			e.stopWaitingLocked(a)
			a.preempted = false
			e.addLocked(a)
			e.notifyChangedLocked()
		}
		e.mu.Unlock()
		if admitted {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// readmit waits until a preempted stream has memory again and then prefills it
// again. It returns false if the caller disconnected.
func (e *engine) readmit(ctx context.Context, a *allocation, request string) bool {
	return e.awaitTurn(ctx, a) && e.prefill(ctx, request)
}
