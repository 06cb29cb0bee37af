package httpwire

import "time"

// writeEndWait bounds how long the end of a connection waits for the Write that was told of it.
// On a closed connection a Write returns at once.
const writeEndWait = time.Second

// unknownEndWait is the same where it isn't known whether the connection is closed: the other end
// may have closed its side only, and the Write may go on for long.
const unknownEndWait = 20 * time.Millisecond

// endedByReset reports whether the end that Read has met is a reset. The kernel tells of a reset
// once. If a Write is told, Read sees the same as after an orderly end.
func (c *Conn) endedByReset() bool {
	c.mu.Lock()
	written, reset := c.written, c.reset
	c.mu.Unlock()
	if reset || written == nil {
		return reset
	}
	wait, closed := unknownEndWait, false
	switch stateOf(c) {
	case stateHalfClosed:
		return false
	case stateClosed:
		wait, closed = writeEndWait, true
	case stateUnknown:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
		return closed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// connState is how far a connection that Read has met the end of is closed.
type connState int

const (
	stateUnknown    connState = iota
	stateHalfClosed           // the other end has closed its side
	stateClosed               // both directions are closed, by a reset before or after that
)
