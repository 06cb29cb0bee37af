package scenario

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	relayBuffer      = 32 << 10 // bytes
	relistenInterval = 10 * time.Millisecond
	relistenTimeout  = 5 * time.Second
)

// relay forwards TCP connections to a process, at an address that stays the same when
// the process restarts. It can cut them like a network partition: connections stay open
// and no data passes until the cut ends, when the data sent in the meantime is delivered.
type relay struct {
	address  string
	reserved reservation

	mu       sync.Mutex // guards the fields below
	target   string     // address of the process; "" while it doesn't run
	listener net.Listener
	cut      bool
	holdText []byte        // answers stop before this text; nil: no hold
	holding  bool          // an answer has stopped before holdText
	changed  chan struct{} // closed and replaced by update
	closed   bool
}

func newRelay() (*relay, error) {
	// The port must be reserved first: no other socket can be bound to it once one listens.
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", port.address)
	if err != nil {
		port.release()
		return nil, err
	}
	r := &relay{address: port.address, reserved: port, listener: listener, changed: make(chan struct{})}
	go r.accept(listener)
	return r, nil
}

// setTarget forwards new connections to target and listens again if clearTarget had
// closed the listener.
func (r *relay) setTarget(target string) error {
	r.mu.Lock()
	r.target = target
	listening := r.listener != nil
	r.mu.Unlock()
	if listening {
		return nil
	}
	return r.relisten()
}

// relisten listens at the relay's address again, retrying for up to relistenTimeout.
func (r *relay) relisten() error {
	deadline := time.Now().Add(relistenTimeout)
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
		time.Sleep(relistenInterval)
	}
}

// clearTarget makes the relay refuse connections, as the kernel does for the port of a
// process that has ended. A VM that is cut off can't even refuse, so while the relay is
// cut the listener stays open.
func (r *relay) clearTarget() {
	r.update(func() {
		r.target = ""
		if r.listener == nil || r.cut {
			return
		}
		_ = r.listener.Close()
		r.listener = nil
	})
}

func (r *relay) close() {
	r.update(func() { r.closed, r.cut, r.holdText = true, false, nil })
	r.clearTarget()
	r.reserved.release()
}

// setCut starts or ends a cut. Ending it also ends a hold.
func (r *relay) setCut(cut bool) {
	r.update(func() {
		r.cut = cut
		if !cut {
			r.holdText = nil
		}
	})
	r.closeIfNoTarget()
}

// closeIfNoTarget closes the listener if the process ended during the cut.
func (r *relay) closeIfNoTarget() {
	r.mu.Lock()
	gone := r.target == ""
	r.mu.Unlock()
	if gone {
		r.clearTarget()
	}
}

// holdBefore makes each answer stop before text.
func (r *relay) holdBefore(text string) {
	r.update(func() { r.holdText, r.holding = []byte(text), false })
}

func (r *relay) isHolding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holding
}

// update calls set with the lock held and wakes all goroutines that wait for a change.
func (r *relay) update(set func()) {
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
		go r.forward(conn)
	}
}

// forward waits until the relay isn't cut, connects to the process and copies data in both
// directions until one of them ends. Then it closes both connections.
func (r *relay) forward(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	r.waitUncut()
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	process, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = process.Close() }()
	ended := make(chan struct{}, 2)
	go func() { r.forwardData(process, caller, false); ended <- struct{}{} }()
	go func() { r.forwardData(caller, process, true); ended <- struct{}{} }()
	<-ended
}

// waitUncut waits until the relay isn't cut.
func (r *relay) waitUncut() {
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

// forwardData copies data until either side has closed. During a cut the other side
// doesn't learn of that. answers is true for data from the process, to which a hold applies.
func (r *relay) forwardData(to, from net.Conn, answers bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		r.waitUncut()
		lost := false
		if answers {
			n, lost = r.writeUntilHold(to, buf[:n])
		}
		if lost {
			return
		}
		if _, writeErr := to.Write(buf[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// writeUntilHold checks buf for the text of a hold. If it is there, writeUntilHold writes
// the part before it, waits until the hold ends, moves the rest to the front of buf and
// returns its length. If the process ends first, the rest is lost. A text that isn't in
// one read as a whole is not found.
func (r *relay) writeUntilHold(to net.Conn, buf []byte) (left int, lost bool) {
	r.mu.Lock()
	hold := r.holdText
	at := -1
	if hold != nil {
		at = bytes.Index(buf, hold)
	}
	r.holding = r.holding || at >= 0
	r.mu.Unlock()
	if at < 0 {
		return len(buf), false
	}
	_, _ = to.Write(buf[:at])
	for {
		r.mu.Lock()
		held, gone, changed := r.holdText != nil, r.target == "" && !r.cut, r.changed
		r.mu.Unlock()
		if gone {
			return 0, true
		}
		if !held {
			return copy(buf, buf[at:]), false
		}
		<-changed
	}
}
