package measure

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relayBuffer = 32 << 10             // bytes, per connection and direction
	relayPoll   = 5 * time.Millisecond // between two checks whether a cut has ended
)

// relay forwards TCP connections to target. When cut, it forwards nothing and leaves all
// connections open, like a network partition.
type relay struct {
	listener     net.Listener
	relayedBytes atomic.Int64 // bytes in both directions

	mu     sync.Mutex // guards all below
	target string     // address of the process behind the relay
	cut    bool
	closed bool
}

func newRelay() (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// set changes fields under the lock.
func (r *relay) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// waitOpen waits until the relay is not cut. It returns false if the relay is closed.
func (r *relay) waitOpen() bool {
	for {
		r.mu.Lock()
		cut, closed := r.cut, r.closed
		r.mu.Unlock()
		if closed || !cut {
			return !closed
		}
		time.Sleep(relayPoll)
	}
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

// forward connects to target and copies in both directions until one of them ends.
func (r *relay) forward(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if !r.waitOpen() {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	ended := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{upstream, caller}, {caller, upstream}} {
		go func() { r.copy(direction[0], direction[1]); ended <- struct{}{} }()
	}
	<-ended
}

func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.waitOpen() {
			return
		}
		r.relayedBytes.Add(int64(n))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) close() {
	r.set(func() { r.closed = true })
	_ = r.listener.Close()
}
