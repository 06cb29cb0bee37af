package embedded

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Process is a router or sidecar that runs in this process.
type Process struct {
	listeners []*killable
	cancel    context.CancelFunc
	done      chan struct{}
	err       error // set before done is closed
}

// startProcess runs f; its context ends when Term is called.
func startProcess(listeners []*killable, f func(context.Context) error) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{listeners: listeners, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = f(ctx)
	}()
	return p
}

// Term begins a planned stop, as a signal does.
func (p *Process) Term() { p.cancel() }

// Wait returns when the process has ended.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "embedded: process still runs")
	}
}

// Running reports whether the process hasn't ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill cuts all the process's connections at once and ends it.
func (p *Process) Kill() {
	for _, l := range p.listeners {
		l.kill()
	}
	p.cancel()
	<-p.done
}

// killable is a listener that can cut all the connections it has accepted.
type killable struct {
	net.Listener

	mu     sync.Mutex // guards conns and killed
	conns  map[net.Conn]struct{}
	killed bool
}

func listen() (*killable, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "embedded: listen")
	}
	return &killable{Listener: listener, conns: map[net.Conn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (k *killable) Accept() (net.Conn, error) {
	conn, err := k.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.killed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: conn, owner: k}
	k.conns[tracked] = struct{}{}
	return tracked, nil
}

func (k *killable) kill() {
	k.mu.Lock()
	k.killed = true
	conns := make([]net.Conn, 0, len(k.conns))
	for c := range k.conns {
		conns = append(conns, c)
	}
	k.mu.Unlock()
	_ = k.Listener.Close()
	for _, c := range conns {
		_ = c.Close()
	}
}

type trackedConn struct {
	net.Conn
	owner *killable
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
