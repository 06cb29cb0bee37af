package httpwire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a DialFunc whose connections tell a reset from an orderly end.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// NewTransport returns a transport whose connections tell a reset from an orderly end.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: Dial((&net.Dialer{Timeout: dialTimeout}).DialContext)}
}

// Conn is a client's connection to a server. Read fails at the end of a connection that was reset.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	written chan struct{} // closed when the Write in progress returns; nil: there is none
	reset   bool          // a Write was told that the server has reset the connection
}

// NewConn returns a Conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// SyscallConn implements syscall.Conn, for package httpconn, which peeks at connections.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn. It may run beside Write, not beside another Read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.endedByReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

// WriteBuffers writes all of several buffers.
func (c *Conn) WriteBuffers(b net.Buffers) error {
	c.beginWrite()
	_, err := b.WriteTo(c.Conn)
	c.endWrite(err)
	return err
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = make(chan struct{})
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = c.reset || errors.Is(err, syscall.ECONNRESET)
	close(c.written)
	c.written = nil
}
