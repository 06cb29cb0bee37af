package httpconn

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// Body is an answer's body. Read to its end, it gives the connection back.
type Body struct {
	conn     *Conn
	raw      io.ReadCloser
	reusable bool
	keepFor  time.Duration
	done     bool
}

// Read implements io.Reader; io.EOF is returned only after the whole body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.raw.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		b.conn.finish(b)
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *Body) Close() error {
	if !b.done {
		b.done = true
		b.conn.Abort()
	}
	return nil
}

func (c *Conn) finish(b *Body) {
	stopped := c.stop == nil || c.stop()
	if !stopped || !b.reusable || !c.wroteAll() || c.reader.Buffered() > 0 {
		_ = c.Conn.Close()
		return
	}
	c.keepFor = b.keepFor
	c.pool.put(c)
}

// wroteAll tells whether the request was written to its end. If the answer
// came before, the rest of the request would run into the next one.
func (c *Conn) wroteAll() bool {
	if c.written == nil {
		return true
	}
	select {
	case err := <-c.written:
		c.written = nil
		return err == nil
	default:
		return false
	}
}

// keepAlive returns the idle time that the server stated, 0 if none.
func keepAlive(h http.Header) time.Duration {
	for _, field := range h.Values("Keep-Alive") {
		for _, part := range splitComma(field) {
			if s, ok := cutPrefixFold(part, "timeout="); ok {
				if n, err := strconv.Atoi(s); err == nil && n > 0 {
					return time.Duration(n) * time.Second
				}
			}
		}
	}
	return 0
}
