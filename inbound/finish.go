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
	// lastTime is what a client gets at the end of a planned stop to send what it
	// has begun, or the first request of a new connection: many round trips within
	// a region. A stop that nothing is sent to takes no longer for it.
	lastTime = 250 * time.Millisecond
	// queueTime bounds the wait for the listener's queue, also in a process with
	// little processor time; EventQueueLeft tells when it was too short.
	queueTime  = 250 * time.Millisecond
	queueLook  = 2 * time.Millisecond
	finishLook = 10 * time.Millisecond
)

// lastLimits are those of connections at the end of a planned stop.
var lastLimits = Limits{IdleTime: lastTime, HeaderTime: lastTime}

// Finish ends a planned stop of server, by the end of ctx: connections in the
// listener's queue are accepted, requests that have come are served or refused,
// and each connection is closed once nothing more has come on it. A client that
// goes on asking is told with its next answer to come back no more.
//
// The server's own shutdown closes the listener's queue and idle connections without looking
// for requests in them, so it comes when no connection is left.
func (c *Listener) Finish(ctx context.Context, server *http.Server) error {
	c.ending.Store(true)
	c.endQueue(ctx)
	for c.count() > 0 && ctx.Err() == nil {
		c.sweepBy(lastLimits, time.Now())
		_ = retry.Wait(ctx, finishLook)
	}
	c.tellLeft()
	return server.Shutdown(ctx)
}

// tellLeft tells of connections that the end of a stop's time closes with
// something on them that was not dealt with.
func (c *Listener) tellLeft() {
	now := time.Now()
	var unread unreadDrops
	c.mu.Lock()
	for conn := range c.open {
		if phase := conn.phase.Load(); conn.arrivedIn(phase) {
			unread.add(phase, conn.inPhase(now))
			c.unread.WithLabelValues(phaseNames[phase]).Inc()
		}
	}
	c.mu.Unlock()
	unread.tell(c.opts.Recorder, lastLimits, 0)
}

func (c *Listener) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// endQueue accepts what is in the listener's queue, closes the listener, and
// waits until the server has all that was accepted: one that comes just before
// the close isn't among the open connections yet when it is taken.
func (c *Listener) endQueue(ctx context.Context) {
	c.within(ctx, c.emptyQueue)
	_ = c.queue.close(c.Listener) // the server's shutdown closes it again and returns the error
	c.within(ctx, c.queue.wait)
}

// within gives a step queueTime, and tells if it is not done by then.
func (c *Listener) within(ctx context.Context, step func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, queueTime)
	defer cancel()
	if err := step(ctx); err != nil {
		c.opts.Recorder.Emit(EventQueueLeft, "err", err, "waited", queueTime)
	}
}

// emptyQueue waits until this process has accepted a connection of its own. The
// queue is one of first in, first out, so all that came before it are accepted
// by then. Nothing else tells: a deadline of the listener may pass, in a process
// without processor time, before it has looked at the queue at all.
func (c *Listener) emptyQueue(ctx context.Context) error {
	var dialer net.Dialer
	own, err := dialer.DialContext(ctx, c.Addr().Network(), c.Addr().String())
	if err != nil {
		return errors.Wrap(err, "inbound: connect to own listener")
	}
	defer own.Close()
	for !c.accepted(own.LocalAddr().String()) {
		if err := retry.Wait(ctx, queueLook); err != nil {
			return errors.Wrap(err, "inbound: own connection isn't accepted")
		}
	}
	return nil
}

// accepted tells whether a connection from remote is open.
func (c *Listener) accepted(remote string) bool {
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
	c.queue.tell()
	return c.queue.close(c.Listener)
}

// queueEnd is the end of a listener, and whether the listener's server may know.
//
// A server whose listener ends before its shutdown has begun takes that for a failure.
type queueEnd struct {
	ended   chan struct{} // nothing more is accepted
	known   chan struct{} // the server may know
	ending  sync.Once
	telling sync.Once
	closing sync.Once
	err     error // of closing
}

func newQueueEnd() *queueEnd {
	return &queueEnd{ended: make(chan struct{}), known: make(chan struct{})}
}

// hold keeps the end of the listener from its server.
func (q *queueEnd) hold() {
	q.ending.Do(func() { close(q.ended) })
	<-q.known
}

// wait returns once hold has begun.
func (q *queueEnd) wait(ctx context.Context) error {
	select {
	case <-q.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "inbound: the listener still accepts")
	}
}

func (q *queueEnd) tell() { q.telling.Do(func() { close(q.known) }) }

func (q *queueEnd) close(l net.Listener) error {
	q.closing.Do(func() { q.err = l.Close() })
	return q.err
}
