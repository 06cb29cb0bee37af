package httpconn

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Body is the body of a response. Once it has been read to its end, the connection
// goes back to the pool.
type Body struct {
	conn             *Conn
	raw              io.ReadCloser
	reusable         bool
	keepAliveTimeout time.Duration
	done             bool
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.raw.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		b.conn.finishResponse(b)
	}
	return n, err
}

// maxDrainBytes is how long a body may be that Drain reads to its end.
const maxDrainBytes = 2048

// Drain reads a short body to its end, so that the connection can be reused, or closes the
// connection if that takes longer than within.
func (b *Body) Drain(within time.Duration) {
	if b.done {
		return
	}
	b.conn.drains = true
	_ = b.conn.SetReadDeadline(time.Now().Add(within))
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDrainBytes+1))
	_ = b.Close()
}

// Close closes the connection unless the body was read to its end.
func (b *Body) Close() error {
	if !b.done {
		b.done = true
		b.conn.Abort()
	}
	return nil
}

// finishResponse returns the connection to the pool, or closes it if it can't be reused.
func (c *Conn) finishResponse(b *Body) {
	// stopped is false if the context has ended, which closes the connection.
	stopped := c.stopWatch == nil || c.stopWatch()
	if !stopped || !b.reusable || !c.requestWritten() || c.reader.Buffered() > 0 {
		_ = c.Conn.Close()
		return
	}
	if c.drains {
		c.drains = false
		_ = c.SetReadDeadline(time.Time{})
	}
	c.keepAliveTimeout = b.keepAliveTimeout
	c.pool.release(c)
}

// requestWritten reports whether the request was written completely. If the response
// came before that, the rest of the request would run into the next one.
func (c *Conn) requestWritten() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult = nil
		return err == nil
	default:
		return false
	}
}

// maxKeepAliveSeconds is far above what connections are kept for, and far below what a Duration
// holds.
const maxKeepAliveSeconds = 24 * 3600

// parseKeepAlive returns the idle timeout that the server announced, or 0 if it
// announced none.
func parseKeepAlive(h http.Header) time.Duration {
	for _, field := range h.Values("Keep-Alive") {
		for _, part := range splitComma(field) {
			if s, ok := cutPrefixFold(part, "timeout="); ok {
				if n, err := strconv.Atoi(s); err == nil && n > 0 {
					return time.Duration(min(n, maxKeepAliveSeconds)) * time.Second
				}
			}
		}
	}
	return 0
}
