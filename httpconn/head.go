package httpconn

import (
	"net"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the head of a response, informational ones before it included. Heads
// have less than 1 KiB; what is longer is no response.
const maxHeadBytes = 64 << 10

// ErrHeadTooLong says that a server sent maxHeadBytes without the end of a response's head.
var ErrHeadTooLong = errors.New("httpconn: the head of the response is too long")

// headLimit reads from a connection. While a head is read, it fails beyond maxHeadBytes, since
// the parser of heads knows no bound and a server may send without end.
type headLimit struct {
	net.Conn
	limited bool
	left    int // bytes that may still be read, if limited
}

// start limits what is read until stop.
func (l *headLimit) start() { l.limited, l.left = true, maxHeadBytes }

// stop ends the limit: a body may have any length.
func (l *headLimit) stop() { l.limited = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}
	if l.left == 0 {
		return 0, ErrHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
