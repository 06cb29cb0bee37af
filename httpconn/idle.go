package httpconn

import (
	"net"
	"syscall"
)

// connState is the state of a connection found by peeking at it.
type connState int

const (
	stateOpen    connState = iota // open, no unread data
	stateUnread                   // unread data
	stateClosed                   // closed or reset by the peer
	stateUnknown                  // the connection can't be peeked at
)

// PeerClosed reports whether the peer is known to have closed or reset the connection.
// It doesn't block, and may be called during a pending read.
func PeerClosed(conn net.Conn) bool { return peekState(conn) == stateClosed }

// HasUnreadData reports whether the connection is known to have received data that
// has not been read yet. It doesn't block, and may be called during a pending read.
func HasUnreadData(conn net.Conn) bool { return peekState(conn) == stateUnread }

// WaitReadable blocks until a read of the connection would not block: data has
// arrived, the connection has ended, or its read deadline has passed. It consumes no
// data. It returns false at once if the connection doesn't support such a wait.
func WaitReadable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true // it is closed; the read will return the error
	}
	// An error means that it is closed or its deadline has passed; the read will
	// return the same.
	_ = rc.Read(func(fd uintptr) bool { return peekSocket(int(fd)) != stateOpen })
	return true
}

// peekState peeks at a connection's next byte without consuming it. It uses Control,
// since Read would wait for a read that another goroutine has begun.
func peekState(conn net.Conn) connState {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return stateUnknown
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	state := stateClosed
	if err := rc.Control(func(fd uintptr) { state = peekSocket(int(fd)) }); err != nil {
		return stateClosed
	}
	return state
}

// peekSocket peeks at a socket's next byte without consuming it or blocking.
func peekSocket(fd int) connState {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return stateOpen
		case err != nil || n == 0:
			return stateClosed
		default:
			return stateUnread
		}
	}
}
