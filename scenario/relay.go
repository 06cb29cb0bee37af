package scenario

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	relayBuffer   = 32 << 10
	relistenPause = 10 * time.Millisecond
	relistenFor   = 5 * time.Second
)

// relay passes TCP connections on to the process behind it, under an address
// that outlives the process. It can cut them as a network partition does:
// connections stay open and nothing passes; what was sent meanwhile comes late.
type relay struct {
	address string
	kept    reservation

	mu       sync.Mutex // guards all below
	target   string     // "" while the process behind isn't there
	listener net.Listener
	cut      bool
	hold     []byte        // answers stop before this text
	held     bool          // an answer stopped there
	changed  chan struct{} // closed at the next change of cut, hold or listener
	closed   bool
}

func newRelay() (*relay, error) {
	// The port is reserved first: no other socket may be bound once one listens.
	kept, err := reserve()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", kept.address)
	if err != nil {
		kept.release()
		return nil, err
	}
	r := &relay{address: kept.address, kept: kept, listener: listener, changed: make(chan struct{})}
	go r.accept(listener)
	return r, nil
}

// up leads connections to target from now on.
func (r *relay) up(target string) error {
	r.mu.Lock()
	r.target = target
	listening := r.listener != nil
	r.mu.Unlock()
	if listening {
		return nil
	}
	return r.listenAgain()
}

func (r *relay) listenAgain() error {
	deadline := time.Now().Add(relistenFor)
	for {
		listener, err := net.Listen("tcp", r.address)
		if err == nil {
			r.mu.Lock()
			r.listener = listener
			r.mu.Unlock()
			go r.accept(listener)
			return nil
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(relistenPause)
	}
}

// down refuses connections, as the kernel does for a port of a process that
// has ended. A cut VM doesn't even refuse: then the listener stays.
func (r *relay) down() {
	r.change(func() {
		r.target = ""
		if r.listener == nil || r.cut {
			return
		}
		_ = r.listener.Close()
		r.listener = nil
	})
}

func (r *relay) close() {
	r.change(func() { r.closed, r.cut, r.hold = true, false, nil })
	r.down()
	r.kept.release()
}

// setCut stops or lets through all bytes; a mended relay holds no answers either.
func (r *relay) setCut(cut bool) {
	r.change(func() {
		r.cut = cut
		if !cut {
			r.hold = nil
		}
	})
	r.refuseIfGone()
}

// refuseIfGone closes the listener of a process that ended while it was cut.
func (r *relay) refuseIfGone() {
	r.mu.Lock()
	gone := r.target == ""
	r.mu.Unlock()
	if gone {
		r.down()
	}
}

// holdBefore stops each answer before text.
func (r *relay) holdBefore(text string) {
	r.change(func() { r.hold, r.held = []byte(text), false })
}

func (r *relay) holds() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

func (r *relay) change(set func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	set()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

func (r *relay) pass(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	r.await()
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	process, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = process.Close() }()
	ended := make(chan struct{}, 2)
	go func() { r.copy(process, caller, false); ended <- struct{}{} }()
	go func() { r.copy(caller, process, true); ended <- struct{}{} }()
	<-ended
}

// await returns once the relay isn't cut.
func (r *relay) await() {
	for {
		r.mu.Lock()
		cut, changed := r.cut, r.changed
		r.mu.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// copy returns when a side has closed; while cut, nobody learns of that.
func (r *relay) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		r.await()
		lost := false
		if answers {
			n, lost = r.passUntilHold(to, buf[:n])
		}
		if lost {
			return
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// passUntilHold writes the part of buf before the text that is held, waits
// until the hold ends and returns what is left, moved to the front of buf. If
// the process ends first, what was held is lost with it.
func (r *relay) passUntilHold(to net.Conn, buf []byte) (left int, lost bool) {
	r.mu.Lock()
	hold := r.hold
	at := -1
	if hold != nil {
		at = bytes.Index(buf, hold)
	}
	r.held = r.held || at >= 0
	r.mu.Unlock()
	if at < 0 {
		return len(buf), false
	}
	_, _ = to.Write(buf[:at])
	for {
		r.mu.Lock()
		again, gone, changed := r.hold != nil, r.target == "" && !r.cut, r.changed
		r.mu.Unlock()
		if gone {
			return 0, true
		}
		if !again {
			return copy(buf, buf[at:]), false
		}
		<-changed
	}
}
