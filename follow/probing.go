package follow

import (
	"sync"
	"time"
)

// probeTimeout is how long a loop leaves probing to another one before it sends a request
// itself: the store may respond to this loop's requests and not to the other's.
const probeTimeout = time.Second

// maxProbeDelay is the longest delay between two requests of the loop that probes for all.
// A Share may extend it.
const maxProbeDelay = 300 * time.Millisecond

// ProbeGroup coordinates the loops of this process that follow one store while it does not
// respond: one of them probes it by its own requests, and the others send theirs as soon
// as there is a response. With a nil ProbeGroup each loop sends requests by itself.
type ProbeGroup struct {
	mu     sync.Mutex
	prober *Loop         // the loop that probes; nil: the store responds
	done   chan struct{} // closed when the probing ends
}

// NewProbeGroup returns a ProbeGroup for the loops of one store.
func NewProbeGroup() *ProbeGroup { return &ProbeGroup{done: make(chan struct{})} }

// join makes a loop the one that probes if there is none, and returns nil. Otherwise it
// returns a channel that is closed when the probing ends: the store responds again, or the
// probing loop left.
func (g *ProbeGroup) join(l *Loop) (done <-chan struct{}) {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prober == nil || g.prober == l {
		g.prober = l
		return nil
	}
	return g.done
}

// responded ends the probing: all loops send requests again.
func (g *ProbeGroup) responded() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endLocked()
}

// leave ends the probing if l does it. Loops that need no requests for now call it, so
// that another one probes.
func (g *ProbeGroup) leave(l *Loop) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.prober == l {
		g.endLocked()
	}
}

func (g *ProbeGroup) endLocked() {
	if g.prober == nil {
		return
	}
	g.prober = nil
	close(g.done)
	g.done = make(chan struct{})
}
