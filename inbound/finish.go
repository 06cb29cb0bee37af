package inbound

import (
	"context"
	"net/http"
	"time"

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
	l.closeListener(ctx)
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

// closeListener closes the listener and waits until the server has been given all
// connections that were in its queue.
func (l *Listener) closeListener(ctx context.Context) {
	sinceLast, began := l.sinceLastAccept(), time.Now()
	_ = l.end.close(l.Listener) // the server's Shutdown closes it again and returns the error
	closed := time.Since(began)
	within, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	if err := l.end.wait(within); err != nil {
		l.opts.Recorder.Emit(EventQueueLeft, "err", err, "waited", queueTimeout)
	}
	l.opts.Recorder.Emit(EventListenerClosed, "since_last", sinceLast, "took", closed)
}

// sinceLastAccept returns how long ago the newest connection was accepted, or 0 if none was.
func (l *Listener) sinceLastAccept() time.Duration {
	last := l.lastAccept.Load()
	if last == 0 {
		return 0
	}
	return time.Since(l.epoch) - time.Duration(last)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.end.release()
	return l.end.close(l.Listener)
}
