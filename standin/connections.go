package standin

import (
	"context"
	"net/http"
	"sync"
)

// connections is the reachability of a stand-in: up, down (every connection is
// dropped) or frozen (connections stay open and nothing is answered).
type connections struct {
	mu     sync.Mutex // guards all below
	dead   bool
	broken chan struct{} // closed to drop the connections open now
	frozen chan struct{} // nil unless frozen; closed by thaw
}

func newConnections() *connections { return &connections{broken: make(chan struct{})} }

func (c *connections) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.broken)
	c.broken = make(chan struct{})
}

func (c *connections) down() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	c.cut()
	c.thaw()
}

func (c *connections) up() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = false
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

// apply sets the faults that every stand-in has.
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

// awaitThaw returns once nothing is frozen or done is closed.
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

// guard runs next as long as the stand-in is reachable. Dropping a connection
// is panic(http.ErrAbortHandler): the caller sees it break, not an answer. A
// call that came in while frozen runs after the thaw even if its caller has left
// by then, as in a paused process whose socket holds the call.
func (c *connections) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		dead, broken := c.dead, c.broken
		c.mu.Unlock()
		if dead {
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
		dropIf(broken)
		next.ServeHTTP(w, r.WithContext(ctx))
		dropIf(broken)
	})
}

func dropIf(broken <-chan struct{}) {
	select {
	case <-broken:
		panic(http.ErrAbortHandler)
	default:
	}
}
