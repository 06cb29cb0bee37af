package peer

import (
	"context"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/httpconn"
	"github.com/pearyard/pearyard/httpwire"
)

// errConnectionClosed means that a reused connection was found closed before a call was
// sent on it.
var errConnectionClosed = errors.New("peer: the reused connection was closed before the call was sent")

// SentGuard records whether any byte of a call may have been sent. It prevents a call from
// being reported as not run, or sent again, after a failure at which the other process may
// already have received it. Nothing was sent if the call was given no connection, or if
// each connection that it was given rejected its first byte.
type SentGuard struct {
	mu    sync.Mutex
	conns []net.Conn // connections that the call was given, in order
}

// Watch returns a context whose HTTP calls are tracked by the guard.
func (g *SentGuard) Watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn})
}

func (g *SentGuard) gotConn(info httptrace.GotConnInfo) {
	if reusable, ok := info.Conn.(*reusableConn); ok && info.Reused {
		reusable.beginCall()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, info.Conn)
}

// MayHaveSent reports whether the call was given a connection that accepted it.
func (g *SentGuard) MayHaveSent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.conns, func(conn net.Conn) bool {
		reusable, ok := conn.(*reusableConn)
		return !ok || !reusable.refused.Load()
	})
}

// reusableConn checks, before a call is sent on a connection that has carried another one,
// whether the other end has closed it since.
//
// It guards against a backend server that dies, when the next call is sent on a reused
// connection before the transport has noticed its end. The call would be lost, and its
// caller would have to be told that the outcome is unknown although nobody can have run
// it. A connection that has rejected a write rejects all later ones, so that no later part
// of the same call is sent.
type reusableConn struct {
	net.Conn
	callStarting atomic.Bool // the next write is the first of a call
	refused      atomic.Bool
}

func (c *reusableConn) beginCall() { c.callStarting.Store(true) }

// Write implements net.Conn.
func (c *reusableConn) Write(b []byte) (int, error) {
	if c.callStarting.CompareAndSwap(true, false) && httpconn.PeerClosed(c.Conn) {
		c.refused.Store(true)
	}
	if c.refused.Load() {
		return 0, errConnectionClosed
	}
	return c.Conn.Write(b)
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &reusableConn{Conn: httpwire.NewConn(conn)}, nil
}
