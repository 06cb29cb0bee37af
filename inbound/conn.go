package inbound

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/httpconn"
)

// connPhase is the state of a client's connection.
type connPhase = int32

const (
	phaseIdle     connPhase = iota // this process waits for a request
	phaseHeader                    // it waits for the rest of a request's header
	phaseReading                   // it has yet to read, or is processing what it has read
	phaseDispatch                  // it has read a header and is about to serve the request
	phaseServing                   // a request is being served
	phaseDropped                   // closed because of a limit
)

var phaseLabels = map[connPhase]string{phaseIdle: "idle", phaseHeader: "head", phaseReading: "reading", phaseDispatch: "taken"}

// unreadGrace is how far a header may exceed its limit while data is unread or
// unprocessed at each check, a hundred checks in all. It is bounded, so that a
// client that sends byte by byte, or doesn't read its refusal, can't keep its
// connection forever.
const unreadGrace = 100 * sweepInterval

// clientConn is a client's connection. Its phase changes by compare-and-swap
// only, so that either a request is served or its connection is dropped before.
//
// A read sets the phase to idle or header before it waits, and to reading before it
// takes data from the socket. So while the phase is idle or header, all data that
// has arrived is in the socket, where a check finds it.
type clientConn struct {
	net.Conn
	epoch          time.Time
	phase          atomic.Int32
	since          atomic.Int64            // when it became idle or its header began, monotonic nanoseconds after epoch; written before phase
	cancelRequests context.CancelCauseFunc // cancels the connection's requests
	cancelCause    func(error) error       // see Options.CancelCause
	headerStarted  bool                    // part of a header has arrived; used only by the goroutine that reads headers
}

// restartClock makes the time that counts against a limit start at now.
func (c *clientConn) restartClock(now time.Time) { c.since.Store(int64(now.Sub(c.epoch))) }

// elapsed returns the time that counts against the limit of the phase: since the
// connection became idle, or since the first data of the header arrived.
func (c *clientConn) elapsed(now time.Time) time.Duration {
	return now.Sub(c.epoch) - time.Duration(c.since.Load())
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.phase.Load() != phaseReading {
		// A body, or the server's background read that detects a closed connection.
		return c.read(b)
	}
	c.startWaiting()
	if !httpconn.WaitReadable(c.Conn) {
		// The connection supports no wait without a read, so the data is taken before
		// the phase changes.
		n, err := c.read(b)
		if !c.dataArrived() {
			return 0, net.ErrClosed
		}
		return n, err
	}
	if !c.dataArrived() {
		return 0, net.ErrClosed
	}
	return c.read(b)
}

func (c *clientConn) read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.handleError(err)
	return n, err
}

// startWaiting records that everything read so far is processed and that this
// process waits for the client.
func (c *clientConn) startWaiting() {
	phase := phaseIdle
	if c.headerStarted {
		phase = phaseHeader
	}
	c.phase.CompareAndSwap(phaseReading, phase)
}

// dataArrived records that data has arrived. It returns false if the connection was
// dropped before. The first data after a request starts a header.
func (c *clientConn) dataArrived() bool {
	if !c.headerStarted {
		c.restartClock(time.Now())
		c.headerStarted = true
	}
	return c.phase.CompareAndSwap(phaseIdle, phaseReading) || c.phase.CompareAndSwap(phaseHeader, phaseReading)
}

// headerRead records that a header has been read: further reads are of the body.
func (c *clientConn) headerRead() { c.phase.CompareAndSwap(phaseReading, phaseDispatch) }

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.handleError(err)
	return n, err
}

// handleError cancels the connection's requests if err says that it broke. net/http
// cancels them too, but a moment later and without a cause, as it does when the
// client closes its connection: a client that was still waiting would be recorded
// as having left.
func (c *clientConn) handleError(err error) {
	if err == nil {
		return
	}
	if cause := c.cancelCause(err); cause != nil {
		c.cancelRequests(cause)
	}
}

// beginRequest records that a request is being served. It returns false if the
// connection was dropped before.
func (c *clientConn) beginRequest() bool {
	for {
		phase := c.phase.Load()
		if phase == phaseDropped {
			return false
		}
		if c.phase.CompareAndSwap(phase, phaseServing) {
			return true
		}
	}
}

// requestDone records that the connection is ready for its next request.
func (c *clientConn) requestDone() {
	c.restartClock(time.Now())
	c.headerStarted = false
	c.phase.CompareAndSwap(phaseServing, phaseReading)
}

// checkResult is the result of checking a connection against its limit.
type checkResult int

const (
	withinLimit  checkResult = iota // within its limit
	unreadSpared                    // over the limit, but data has arrived
	closedQuiet                     // over the limit, to be closed
	closedUnread                    // to be closed because it is far over the limit, although data has arrived
)

// check marks the connection as dropped if it is over its limit and this process
// waits for its client, or if its header is over the limit by more than unreadGrace.
func (c *clientConn) check(limits Limits, now time.Time) (connPhase, checkResult) {
	phase := c.phase.Load()
	limit, took := limitOf(phase, limits), c.elapsed(now)
	if limit <= 0 || took <= limit {
		return phase, withinLimit
	}
	unread := c.hasUnread(phase)
	// An idle connection that stays open is then subject to the header limit.
	if unread && (phase == phaseIdle || took <= limit+unreadGrace) {
		return phase, unreadSpared
	}
	if !c.phase.CompareAndSwap(phase, phaseDropped) {
		return phase, withinLimit
	}
	if unread {
		return phase, closedUnread
	}
	return phase, closedQuiet
}

// hasUnread reports whether data has arrived that this process has not processed,
// in a phase in which no request is served.
func (c *clientConn) hasUnread(phase connPhase) bool {
	switch phase {
	case phaseReading, phaseDispatch:
		return true
	case phaseIdle, phaseHeader:
		return httpconn.HasUnreadData(c.Conn)
	default:
		return false
	}
}

// limitOf returns the limit that applies in a phase, 0 if none does.
func limitOf(phase connPhase, limits Limits) time.Duration {
	switch phase {
	case phaseIdle:
		return limits.IdleTime
	case phaseHeader, phaseReading, phaseDispatch:
		return limits.HeaderTime
	default:
		return 0
	}
}
