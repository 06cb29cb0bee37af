package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/retry"
)

const (
	// stopTimeout is how long a client may take, at the end of a planned stop, to
	// complete a header or to send the first request of a new connection: many
	// round trips within a region. It delays only stops during which clients send.
	stopTimeout = 250 * time.Millisecond
	// queueTimeout bounds the wait for the listener's queue, also in a process with
	// little CPU time. EventQueueLeft reports that it was too short.
	queueTimeout       = 250 * time.Millisecond
	queuePollInterval  = 2 * time.Millisecond
	finishPollInterval = 10 * time.Millisecond
)

// stopLimits are the limits for connections at the end of a planned stop.
var stopLimits = Limits{IdleTime: stopTimeout, HeaderTime: stopTimeout}

// Finish completes a planned stop of server before ctx ends: connections in the
// listener's queue are accepted, requests that have arrived are served or refused,
// and each connection is closed once no more data arrives on it. The response to a
// further request closes its connection.
//
// The server's own Shutdown closes the listener and idle connections without
// checking for requests in them, so it is called when no connection is left.
func (c *Listener) Finish(ctx context.Context, server *http.Server) error {
	c.stopping.Store(true)
	c.drainQueue(ctx)
	for c.openCount() > 0 && ctx.Err() == nil {
		c.sweepWithLimits(stopLimits, time.Now())
		_ = retry.Wait(ctx, finishPollInterval)
	}
	c.reportUnread()
	return server.Shutdown(ctx)
}

// reportUnread reports the connections with unread data that are still open when
// the time of a planned stop is over.
func (c *Listener) reportUnread() {
	now := time.Now()
	var unread unreadCloses
	c.mu.Lock()
	for conn := range c.open {
		if phase := conn.phase.Load(); conn.hasUnread(phase) {
			unread.add(phase, conn.timeInPhase(now))
			c.unread.WithLabelValues(phaseLabels[phase]).Inc()
		}
	}
	c.mu.Unlock()
	unread.emit(c.opts.Recorder, stopLimits, 0)
}

func (c *Listener) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// drainQueue accepts the connections in the listener's queue, closes the listener,
// and waits until the server has stopped accepting: a connection that is accepted
// just before the close may not be among the open ones yet.
func (c *Listener) drainQueue(ctx context.Context) {
	c.withQueueTimeout(ctx, c.acceptQueued)
	_ = c.end.close(c.Listener) // the server's Shutdown closes it again and returns the error
	c.withQueueTimeout(ctx, c.end.wait)
}

// withQueueTimeout runs a step with queueTimeout and emits an event if it fails.
func (c *Listener) withQueueTimeout(ctx context.Context, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	if err := step(ctx); err != nil {
		c.opts.Recorder.Emit(EventQueueLeft, "err", err, "waited", queueTimeout)
	}
}

// acceptQueued connects to the listener and waits until that connection is accepted.
// The queue is first in, first out, so all earlier connections are accepted by then.
// A deadline on the listener would not do: in a process without CPU time it may pass
// before the queue is read at all.
func (c *Listener) acceptQueued(ctx context.Context) error {
	var dialer net.Dialer
	own, err := dialer.DialContext(ctx, c.Addr().Network(), c.Addr().String())
	if err != nil {
		return errors.Wrap(err, "inbound: connect to own listener")
	}
	defer own.Close()
	for !c.isAccepted(own.LocalAddr().String()) {
		if err := retry.Wait(ctx, queuePollInterval); err != nil {
			return errors.Wrap(err, "inbound: own connection was not accepted in time")
		}
	}
	return nil
}

// isAccepted reports whether a connection from remote is open.
func (c *Listener) isAccepted(remote string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.RemoteAddr().String() == remote {
			return true
		}
	}
	return false
}

// Close implements net.Listener.
func (c *Listener) Close() error {
	c.end.release()
	return c.end.close(c.Listener)
}

// listenerEnd coordinates the end of a listener with its server. A server whose
// listener ends before its shutdown has begun reports that as an error, so Accept
// doesn't return until the server may see the end.
type listenerEnd struct {
	ended       chan struct{} // closed when no further connection will be accepted
	released    chan struct{} // closed when the server may see the end
	endOnce     sync.Once
	releaseOnce sync.Once
	closeOnce   sync.Once
	closeErr    error // result of closing the listener
}

func newListenerEnd() *listenerEnd {
	return &listenerEnd{ended: make(chan struct{}), released: make(chan struct{})}
}

// hold blocks the server's Accept until release is called.
func (q *listenerEnd) hold() {
	q.endOnce.Do(func() { close(q.ended) })
	<-q.released
}

// wait returns once hold has been called.
func (q *listenerEnd) wait(ctx context.Context) error {
	select {
	case <-q.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "inbound: listener is still accepting")
	}
}

func (q *listenerEnd) release() { q.releaseOnce.Do(func() { close(q.released) }) }

func (q *listenerEnd) close(l net.Listener) error {
	q.closeOnce.Do(func() { q.closeErr = l.Close() })
	return q.closeErr
}
