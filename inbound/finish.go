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
func (l *Listener) Finish(ctx context.Context, server *http.Server) error {
	l.stopping.Store(true)
	l.drainQueue(ctx)
	for l.openCount() > 0 && ctx.Err() == nil {
		l.sweepWithLimits(stopLimits, time.Now())
		_ = retry.Wait(ctx, finishPollInterval)
	}
	l.reportUnread()
	return server.Shutdown(ctx)
}

// reportUnread reports the connections with unread data that are still open when
// the time of a planned stop is over.
func (l *Listener) reportUnread() {
	now := time.Now()
	var unread unreadCloses
	l.mu.Lock()
	for conn := range l.open {
		if phase := conn.phase.Load(); conn.hasUnread(phase) {
			unread.add(phase, conn.elapsed(now))
			l.unread.WithLabelValues(phaseLabels[phase]).Inc()
		}
	}
	l.mu.Unlock()
	unread.emit(l.opts.Recorder, stopLimits, 0)
}

func (l *Listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// drainQueue accepts the connections in the listener's queue, closes the listener,
// and waits until the server has stopped accepting: a connection that is accepted
// just before the close may not be among the open ones yet.
func (l *Listener) drainQueue(ctx context.Context) {
	sinceLast := l.sinceLastAccept()
	l.withQueueTimeout(ctx, l.acceptQueued)
	began := time.Now()
	_ = l.end.close(l.Listener) // the server's Shutdown closes it again and returns the error
	l.withQueueTimeout(ctx, l.end.wait)
	l.opts.Recorder.Emit(EventListenerClosed, "since_last", sinceLast, "took", time.Since(began))
}

// sinceLastAccept returns how long ago the newest connection was accepted, or 0 if none was.
func (l *Listener) sinceLastAccept() time.Duration {
	last := l.lastAccept.Load()
	if last == 0 {
		return 0
	}
	return time.Since(l.epoch) - time.Duration(last)
}

// withQueueTimeout runs a step with queueTimeout and emits an event if it fails.
func (l *Listener) withQueueTimeout(ctx context.Context, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	if err := step(ctx); err != nil {
		l.opts.Recorder.Emit(EventQueueLeft, "err", err, "waited", queueTimeout)
	}
}

// acceptQueued connects to the listener and waits until that connection is accepted.
// The queue is first in, first out, so all earlier connections are accepted by then.
// A deadline on the listener would not do: in a process without CPU time it may pass
// before the queue is read at all.
func (l *Listener) acceptQueued(ctx context.Context) error {
	var dialer net.Dialer
	own, err := dialer.DialContext(ctx, l.Addr().Network(), l.Addr().String())
	if err != nil {
		return errors.Wrap(err, "inbound: connect to own listener")
	}
	defer own.Close()
	for !l.isAccepted(own.LocalAddr().String()) {
		if err := retry.Wait(ctx, queuePollInterval); err != nil {
			return errors.Wrap(err, "inbound: own connection was not accepted in time")
		}
	}
	return nil
}

// isAccepted reports whether a connection from remote is open.
func (l *Listener) isAccepted(remote string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		if conn.RemoteAddr().String() == remote {
			return true
		}
	}
	return false
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.end.release()
	return l.end.close(l.Listener)
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

func (e *listenerEnd) close(l net.Listener) error {
	e.closeOnce.Do(func() { e.closeErr = l.Close() })
	return e.closeErr
}
