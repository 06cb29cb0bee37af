package standin

import (
	"context"
	"net/http"
	"sync"
)

// connections simulates whether a stand-in is reachable. It is enabled, disabled
// (every connection is dropped) or frozen (connections stay open and nothing is
// answered).
type connections struct {
	mu       sync.Mutex // guards the fields below
	disabled bool
	broken   chan struct{} // closed to drop the connections of the calls in progress
	frozen   chan struct{} // nil unless frozen; closed by thaw
}

func newConnections() *connections { return &connections{broken: make(chan struct{})} }

func (c *connections) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.broken)
	c.broken = make(chan struct{})
}

func (c *connections) disable() {
	c.mu.Lock()
	c.disabled = true
	c.mu.Unlock()
	c.cut()
	c.thaw()
}

func (c *connections) enable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disabled = false
}

func (c *connections) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen == nil {
		c.frozen = make(chan struct{})
	}
}

func (c *connections) thaw() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen != nil {
		close(c.frozen)
		c.frozen = nil
	}
}

// apply sets the faults that all stand-ins have in common.
func (c *connections) apply(freeze *bool, cut bool) {
	if cut {
		c.cut()
	}
	if freeze == nil {
		return
	}
	if *freeze {
		c.freeze()
		return
	}
	c.thaw()
}

// awaitThaw returns when the stand-in isn't frozen or done is closed.
func (c *connections) awaitThaw(done <-chan struct{}) {
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-done:
	}
}

// withFaults runs next unless the stand-in is disabled. It drops a connection by
// panic(http.ErrAbortHandler), so that the caller sees a broken connection and no
// response. A call that arrives while the stand-in is frozen runs after the thaw
// even if its caller has disconnected, as in a paused process whose socket buffer
// holds the call.
func (c *connections) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		disabled, broken := c.disabled, c.broken
		c.mu.Unlock()
		if disabled {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-broken:
				cancel()
			case <-stop:
			}
		}()
		c.awaitThaw(broken)
		abortIfClosed(broken)
		next.ServeHTTP(w, r.WithContext(ctx))
		abortIfClosed(broken)
	})
}

func abortIfClosed(broken <-chan struct{}) {
	select {
	case <-broken:
		panic(http.ErrAbortHandler)
	default:
	}
}
