package httpwire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections check what the server sends.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// NewTransport returns a transport whose connections check what the server sends.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: Dial((&net.Dialer{Timeout: dialTimeout}).DialContext)}
}

// Conn is a client's connection to a server. Read fails at the first byte that is not part of a
// response, and at the end of a connection that was reset.
type Conn struct {
	net.Conn
	scanner  Scanner     // of what Read returns
	err      error       // of the scanner
	headOnly atomic.Bool // the current request is a HEAD
	between  atomic.Bool // the next Write begins a request

	mu      sync.Mutex
	writing int           // Writes in progress
	written chan struct{} // closed when the last of them returns; nil: there is none
	reset   bool          // a Write was told that the server has reset the connection
}

// NewConn returns a Conn.
func NewConn(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.between.Store(true)
	return c
}

// SyscallConn implements syscall.Conn, for package httpconn, which peeks at connections.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn. It may run beside Write, not beside another Read.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.endedByReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	c.scanner.ExpectNoBodies(c.headOnly.Load())
	valid, syntaxErr := c.scanner.Scan(p[:n])
	if syntaxErr != nil {
		c.err = syntaxErr
		return valid, c.err
	}
	if n > 0 && c.scanner.Between() {
		c.between.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite(p)
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

// WriteBuffers writes all of several buffers.
func (c *Conn) WriteBuffers(b net.Buffers) error {
	c.beginWrite(b[0])
	_, err := b.WriteTo(c.Conn)
	c.endWrite(err)
	return err
}

var headMethod = []byte(http.MethodHead + " ")

func (c *Conn) beginWrite(first []byte) {
	if c.between.CompareAndSwap(true, false) {
		c.headOnly.Store(bytes.HasPrefix(first, headMethod))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing++; c.writing == 1 {
		c.written = make(chan struct{})
	}
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	if c.writing--; c.writing == 0 {
		close(c.written)
		c.written = nil
	}
}
