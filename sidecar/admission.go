package sidecar

import (
	"context"
	"sync"
)

// admission decides whether new work may enter and counts what is inside.
//
// Failure it stops: work that slips in while the backend server begins to
// leave, and is cut when the process ends. It would show as a planned stop
// that cuts a request. The check for leaving and the count are one step under
// mu, so a drain that sees the count at zero knows that nothing can enter.
type admission struct {
	mu       sync.Mutex
	leaving  bool
	inFlight int
	idle     chan struct{} // closed when leaving and nothing is in flight
}

func newAdmission() *admission { return &admission{idle: make(chan struct{})} }

// enter reports whether work may enter; a caller that got true must call exit once.
func (a *admission) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return false
	}
	a.inFlight++
	return true
}

func (a *admission) exit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.checkIdle()
}

// leave closes the gate for good. It reports whether this call closed it.
func (a *admission) leave() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving {
		return false
	}
	a.leaving = true
	a.checkIdle()
	return true
}

func (a *admission) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

func (a *admission) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// wait returns when the gate is closed and nothing is inside, or ctx ends.
func (a *admission) wait(ctx context.Context) error {
	select {
	case <-a.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkIdle must be called with mu held. Nothing enters after leaving, so the
// count reaches zero once.
func (a *admission) checkIdle() {
	if a.leaving && a.inFlight == 0 {
		select {
		case <-a.idle:
		default:
			close(a.idle)
		}
	}
}
