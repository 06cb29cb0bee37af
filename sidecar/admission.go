package sidecar

import (
	"context"
	"sync"
)

// admission decides whether new work is accepted and counts the work in progress.
//
// It guards against work that is accepted while the backend server begins to drain and is
// then cut off when the process ends: a planned stop that breaks a request. Checking
// draining and counting are one step under mu, so once a drain sees the count at zero, no
// more work can be accepted.
type admission struct {
	mu       sync.Mutex
	draining bool
	inFlight int
	idle     chan struct{} // closed when draining and nothing is in flight
}

func newAdmission() *admission { return &admission{idle: make(chan struct{})} }

// enter reports whether work is accepted. A caller that got true must call exit exactly
// once.
func (a *admission) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.inFlight++
	return true
}

func (a *admission) exit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.closeIdleLocked()
}

// drain rejects new work from now on. It reports whether this call was the first.
func (a *admission) drain() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining {
		return false
	}
	a.draining = true
	a.closeIdleLocked()
	return true
}

func (a *admission) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *admission) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// wait returns when draining has begun and nothing is in flight, or with ctx's error.
func (a *admission) wait(ctx context.Context) error {
	select {
	case <-a.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeIdleLocked closes idle if the drain is complete. Callers must hold mu. Nothing is
// accepted while draining, so the count reaches zero only once.
func (a *admission) closeIdleLocked() {
	if a.draining && a.inFlight == 0 {
		select {
		case <-a.idle:
		default:
			close(a.idle)
		}
	}
}
