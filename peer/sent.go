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
)

// errEndedBefore: a kept connection was found closed before a call went out on it.
var errEndedBefore = errors.New("peer: the kept connection had ended before the call")

// SentGuard tells whether a byte of a call may have left this process. It
// stops a call from being reported "not run", or sent again, after a failure
// that came when the other side may already have it. Two things prove that
// nothing left: no connection was made, or each one given to the call had
// refused its first byte.
type SentGuard struct {
	mu    sync.Mutex
	given []net.Conn // connections that the call was given, in order
}

// Watch returns a context whose HTTP calls are watched by the guard.
func (g *SentGuard) Watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn})
}

func (g *SentGuard) gotConn(info httptrace.GotConnInfo) {
	if kept, ok := info.Conn.(*keptConn); ok && info.Reused {
		kept.beginCall()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.given = append(g.given, info.Conn)
}

// MayHaveLeft reports whether the call was given a connection that took it.
func (g *SentGuard) MayHaveLeft() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.given, func(conn net.Conn) bool {
		kept, ok := conn.(*keptConn)
		return !ok || !kept.refused.Load()
	})
}

// keptConn looks, before a call goes out on a connection that carried another
// one, whether the other end has closed it since.
//
// Failure it stops: a backend server dies, and the next call goes out on a
// kept connection before the transport has run to see its end. The call is
// lost with it, and its caller must be told "unknown" of a call that nobody
// can have run. A refused connection stays refused, so that no later write of
// the same call slips through.
type keptConn struct {
	net.Conn
	starting atomic.Bool // the next write is the first of a call
	refused  atomic.Bool
}

func (c *keptConn) beginCall() { c.starting.Store(true) }

// Write implements net.Conn.
func (c *keptConn) Write(b []byte) (int, error) {
	if c.starting.CompareAndSwap(true, false) && httpconn.PeerClosed(c.Conn) {
		c.refused.Store(true)
	}
	if c.refused.Load() {
		return 0, errEndedBefore
	}
	return c.Conn.Write(b)
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: conn}, nil
}
