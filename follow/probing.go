package follow

import (
	"sync"
	"time"
)

// turnTimeout is how long a loop leaves the asking to another one: the store may
// answer this one's questions and not the other's.
const turnTimeout = time.Second

// turnPause is the longest wait of the loop that asks for all.
const turnPause = 300 * time.Millisecond

// Turns has the loops that follow one store ask it in turn while it does not answer:
// one asks, and the others follow as soon as it has an answer. The nil Turns is of
// loops that ask by themselves.
type Turns struct {
	mu     sync.Mutex
	asking *Loop         // nil: the store answers
	back   chan struct{} // closed when it does again
}

// NewTurns returns Turns for the loops of one store.
func NewTurns() *Turns { return &Turns{back: make(chan struct{})} }

// take makes a loop the one that asks, unless another one is. Then it returns a
// channel that is closed when the loop's turn has come.
func (t *Turns) take(l *Loop) (back <-chan struct{}) {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asking == nil || t.asking == l {
		t.asking = l
		return nil
	}
	return t.back
}

// answered lets all loops ask again.
func (t *Turns) answered() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endLocked()
}

// leave is called by a loop that has no need to ask.
func (t *Turns) leave(l *Loop) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asking == l {
		t.endLocked()
	}
}

func (t *Turns) endLocked() {
	if t.asking == nil {
		return
	}
	t.asking = nil
	close(t.back)
	t.back = make(chan struct{})
}
