package inbound

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// listenerEnd coordinates the end of a listener with its server. A server whose
// listener ends before its shutdown has begun reports that as an error, so Accept
// doesn't return until the server may see the end.
type listenerEnd struct {
	closing     atomic.Bool   // the listener is being closed: an error of Accept is its end
	closed      chan struct{} // closed when queued is complete
	ended       chan struct{} // closed when no further connection will be accepted
	released    chan struct{} // closed when the server may see the end
	endOnce     sync.Once
	releaseOnce sync.Once
	closeOnce   sync.Once
	closeErr    error // result of closing the listener

	mu     sync.Mutex // guards queued
	queued []net.Conn // connections that Accept has yet to return
}

func newListenerEnd() *listenerEnd {
	return &listenerEnd{closed: make(chan struct{}), ended: make(chan struct{}), released: make(chan struct{})}
}

// close closes the listener and keeps what was in its queue for next.
func (e *listenerEnd) close(l net.Listener) error {
	e.closeOnce.Do(func() {
		e.closing.Store(true)
		e.mu.Lock()
		e.queued, e.closeErr = closeTakingQueue(l)
		e.mu.Unlock()
		close(e.closed)
	})
	return e.closeErr
}

// next returns a connection that was in the queue as the listener closed. Without one it
// returns err, the listener's own error; if that is its end, once the server may see it.
func (e *listenerEnd) next(err error) (net.Conn, error) {
	if !e.closing.Load() {
		return nil, err
	}
	<-e.closed
	if conn := e.pop(); conn != nil {
		return conn, nil
	}
	e.hold()
	return nil, err
}

func (e *listenerEnd) pop() net.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queued) == 0 {
		return nil
	}
	conn := e.queued[0]
	e.queued = e.queued[1:]
	return conn
}

// hold blocks the server's Accept until release is called.
func (e *listenerEnd) hold() {
	e.endOnce.Do(func() { close(e.ended) })
	<-e.released
}

// wait returns once hold has been called.
func (e *listenerEnd) wait(ctx context.Context) error {
	select {
	case <-e.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "inbound: listener is still accepting")
	}
}

func (e *listenerEnd) release() { e.releaseOnce.Do(func() { close(e.released) }) }
