package follow

import (
	"sync"
	"time"
)

// probeTimeout is how long a loop leaves probing to another one: the store may respond to
// this loop's requests and not to the other's.
const probeTimeout = time.Second

// maxProbeDelay is the longest delay of the loop that probes for all.
const maxProbeDelay = 300 * time.Millisecond

// ProbeGroup coordinates the loops that follow one store while it does not respond: one
// of them probes it, and the others follow as soon as there is a response. With a nil
// ProbeGroup each loop sends its own requests.
type ProbeGroup struct {
	mu     sync.Mutex
	prober *Loop         // the loop that probes; nil: the store responds
	done   chan struct{} // closed when the probing ends
}

// NewProbeGroup returns a ProbeGroup for the loops of one store.
func NewProbeGroup() *ProbeGroup { return &ProbeGroup{done: make(chan struct{})} }

// join makes a loop the one that probes if there is none. Otherwise it returns a channel
// that is closed when the probing ends: the store responds again, or the probing loop left.
func (t *ProbeGroup) join(l *Loop) (done <-chan struct{}) {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prober == nil || t.prober == l {
		t.prober = l
		return nil
	}
	return t.done
}

// responded ends the probing: all loops send requests again.
func (t *ProbeGroup) responded() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLocked()
}

// leave ends the probing if this loop does it; it is called by a loop that has no need for
// requests.
func (t *ProbeGroup) leave(l *Loop) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prober == l {
		t.endLocked()
	}
}

func (t *ProbeGroup) endLocked() {
	if t.prober == nil {
		return
	}
	t.prober = nil
	close(t.done)
	t.done = make(chan struct{})
}
