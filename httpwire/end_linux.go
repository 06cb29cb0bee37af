package httpwire

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is TCP_CLOSE of the kernel's enumeration of states.
const tcpClose = 7

// stateOf returns the state of a connection by the kernel's TCP_INFO.
func stateOf(conn syscall.Conn) connState {
	raw, err := conn.SyscallConn()
	if err != nil {
		return stateUnknown
	}
	state := stateUnknown
	_ = raw.Control(func(fd uintptr) { // an error leaves the state unknown
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State == tcpClose:
			state = stateClosed
		default:
			state = stateHalfClosed
		}
	})
	return state
}
