package measure

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relayBuffer = 32 << 10
	relayPoll   = 5 * time.Millisecond
)

// relay passes TCP connections on to target. When cut, it passes nothing and
// leaves all connections open, as a network partition does.
type relay struct {
	listener net.Listener
	passed   atomic.Int64 // bytes, both ways

	mu     sync.Mutex // guards all below
	target string
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

func (r *relay) set(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// await returns once bytes may pass; false if the relay has ended.
func (r *relay) await() bool {
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
		go r.pass(conn)
	}
}

func (r *relay) pass(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	if !r.await() {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	process, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = process.Close() }()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{process, caller}, {caller, process}} {
		go func() { r.copy(way[0], way[1]); ended <- struct{}{} }()
	}
	<-ended
}

func (r *relay) copy(to, from net.Conn) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.await() {
			return
		}
		r.passed.Add(int64(n))
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) close() {
	r.set(func() { r.closed = true })
	_ = r.listener.Close()
}
