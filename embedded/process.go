package embedded

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Process is a router or sidecar that runs within the current OS process.
type Process struct {
	listeners []*killableListener
	cancel    context.CancelFunc
	done      chan struct{}
	err       error // set before done is closed
}

// startProcess runs f until it returns. Term and Kill cancel its context.
func startProcess(listeners []*killableListener, f func(context.Context) error) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{listeners: listeners, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = f(ctx)
	}()
	return p
}

// Term begins a planned stop, as SIGTERM does.
func (p *Process) Term() { p.cancel() }

// Wait waits until the process has ended and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "embedded: process is still running")
	}
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill closes all listeners of the process and the connections accepted there, and waits
// until the process has ended.
func (p *Process) Kill() {
	for _, l := range p.listeners {
		l.kill()
	}
	p.cancel()
	<-p.done
}

// killableListener can close all the connections that it has accepted.
type killableListener struct {
	net.Listener

	mu     sync.Mutex // guards conns and killed
	conns  map[net.Conn]struct{}
	killed bool
}

// listen listens on a free loopback port.
func listen() (*killableListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "embedded: listen")
	}
	return &killableListener{Listener: listener, conns: map[net.Conn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (k *killableListener) Accept() (net.Conn, error) {
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

// kill closes the listener and all its connections.
func (k *killableListener) kill() {
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

// trackedConn is an accepted connection that its listener can close.
type trackedConn struct {
	net.Conn
	owner *killableListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
