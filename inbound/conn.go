package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/httpconn"
)

// clientPhase is what a client's connection is waited for, or who deals with it.
type clientPhase = int32

const (
	clientIdle    clientPhase = iota // this process waits for a request
	clientHead                       // it waits for the rest of a request's head
	clientReading                    // it has yet to read, or to deal with what it has read
	clientTaken                      // it has read a head and is about to serve the request
	clientServed                     // a request is being served
	clientDropped                    // closed by a look
)

var phaseNames = map[clientPhase]string{clientIdle: "idle", clientHead: "head", clientReading: "reading", clientTaken: "taken"}

// lateTime is how much longer than its limit a head may take while something of
// it is unread or not dealt with at each look, a hundred looks in all.
//
// A client that sends byte after byte, or does not take the refusal, must not stay for good.
const lateTime = 100 * clientsLook

// clientConn is a client's connection. Its phase changes by compare-and-swap
// only, so that a request is either served or its connection dropped before it.
//
// A read says that it waits before it does, and that something has come before
// it takes that: while the phase is idle or head, what has come is in the socket,
// where a look finds it.
type clientConn struct {
	net.Conn
	zero   time.Time
	phase  atomic.Int32
	since  atomic.Int64            // steady nanoseconds after zero at which the phase began; written before it
	lost   context.CancelCauseFunc // ends the connection's requests
	broken func(error) error
	begun  bool // bytes of a head have come; known to the goroutine that reads heads
}

func (c *clientConn) touch(now time.Time) { c.since.Store(int64(now.Sub(c.zero))) }

func (c *clientConn) inPhase(now time.Time) time.Duration {
	return now.Sub(c.zero) - time.Duration(c.since.Load())
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.phase.Load() != clientReading {
		// A body, or the server's watch for the client's end beside a request.
		return c.read(b)
	}
	c.waits()
	if !httpconn.WaitReadable(c.Conn) {
		n, err := c.read(b)
		if !c.arrived() {
			return 0, net.ErrClosed
		}
		return n, err
	}
	if !c.arrived() {
		return 0, net.ErrClosed
	}
	return c.read(b)
}

func (c *clientConn) read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.note(err)
	return n, err
}

// waits notes that all that was read is dealt with and the client has its turn.
func (c *clientConn) waits() {
	phase := clientIdle
	if c.begun {
		phase = clientHead
	}
	c.phase.CompareAndSwap(clientReading, phase)
}

// arrived notes that something has come; false if the connection was dropped
// before. The first bytes after a pause begin a head.
func (c *clientConn) arrived() bool {
	if !c.begun {
		c.touch(time.Now())
		c.begun = true
	}
	return c.phase.CompareAndSwap(clientIdle, clientReading) || c.phase.CompareAndSwap(clientHead, clientReading)
}

// taken notes that a head has been read: reads are of its body from now on.
func (c *clientConn) taken() { c.phase.CompareAndSwap(clientReading, clientTaken) }

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.note(err)
	return n, err
}

// note ends the connection's requests if an error says that it broke. net/http
// ends them too, a moment later and without a cause, as it does when the client
// closes its connection in order: a client that was still waiting would be said
// to have left.
func (c *clientConn) note(err error) {
	if err == nil {
		return
	}
	if cause := c.broken(err); cause != nil {
		c.lost(cause)
	}
}

// serve notes that a request is being served; false if the connection was dropped.
func (c *clientConn) serve() bool {
	for {
		phase := c.phase.Load()
		if phase == clientDropped {
			return false
		}
		if c.phase.CompareAndSwap(phase, clientServed) {
			return true
		}
	}
}

// answered notes that the connection is ready for its next request.
func (c *clientConn) answered() {
	c.touch(time.Now())
	c.begun = false
	c.phase.CompareAndSwap(clientServed, clientReading)
}

// finding is what a look at a connection comes to.
type finding int

const (
	inTime        finding = iota // it is within its limit
	spared                       // over it, but something has come
	dropped                      // over it, and taken out of use
	droppedUnread                // the same, for the time that it has taken, though something has come
)

// look takes the connection out of use if it is over its limit and this process
// waits for its client.
func (c *clientConn) look(limits Limits, now time.Time) (clientPhase, finding) {
	phase := c.phase.Load()
	limit, took := limitOf(phase, limits), c.inPhase(now)
	if limit <= 0 || took <= limit {
		return phase, inTime
	}
	arrived := c.arrivedIn(phase)
	// An idle connection that is spared becomes one whose head is timed.
	if arrived && (phase == clientIdle || took <= limit+lateTime) {
		return phase, spared
	}
	if !c.phase.CompareAndSwap(phase, clientDropped) {
		return phase, inTime
	}
	if arrived {
		return phase, droppedUnread
	}
	return phase, dropped
}

// arrivedIn tells whether something has come, in a phase in which no request is
// served, that this process has not dealt with.
func (c *clientConn) arrivedIn(phase clientPhase) bool {
	switch phase {
	case clientReading, clientTaken:
		return true
	case clientIdle, clientHead:
		return httpconn.HasUnreadData(c.Conn)
	default:
		return false
	}
}

func limitOf(phase clientPhase, limits Limits) time.Duration {
	switch phase {
	case clientIdle:
		return limits.IdleTime
	case clientHead, clientReading, clientTaken:
		return limits.HeaderTime
	default:
		return 0
	}
}
