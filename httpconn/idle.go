package httpconn

import (
	"net"
	"syscall"
)

// idleState is what a look at an idle connection finds.
type idleState int

const (
	idleQuiet   idleState = iota // open, nothing has arrived
	idleBytes                    // bytes have arrived that nobody asked for
	idleEnded                    // the other end has closed or reset it
	idleUnknown                  // the connection doesn't allow the look
)

// Ended reports whether the other end of a connection is known to have closed
// or reset it. It doesn't wait, and may be called beside a pending read.
func Ended(conn net.Conn) bool { return look(conn) == idleEnded }

// Unread reports whether bytes are known to have come on a connection that
// nobody has read yet. It doesn't wait, and may be called beside a pending read.
func Unread(conn net.Conn) bool { return look(conn) == idleBytes }

// Await waits until a read of the connection would not wait: bytes have come, it
// has ended, or its read deadline has passed. It takes nothing. It returns
// false, at once, if the connection doesn't allow such a wait.
func Await(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true // it is closed, as the read will say
	}
	// An error says that it is closed or that its deadline has passed; so will the read.
	_ = rc.Read(func(fd uintptr) bool { return peek(int(fd)) != idleQuiet })
	return true
}

// look peeks at a connection's next byte without taking it. It goes by
// Control, as Read would wait for a read that another goroutine has begun.
func look(conn net.Conn) idleState {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return idleUnknown
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return idleEnded
	}
	state := idleEnded
	if err := rc.Control(func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return idleEnded
	}
	return state
}

func peek(fd int) idleState {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return idleQuiet
		case err != nil || n == 0:
			return idleEnded
		default:
			return idleBytes
		}
	}
}
