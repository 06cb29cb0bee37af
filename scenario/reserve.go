package scenario

import (
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
)

// reservation keeps a port for a relay whose process is gone.
//
// Failure it stops: while nobody listens, the kernel gives the port to another
// process's outgoing connection, and the restart of the one behind the relay
// fails with "address already in use". The kernel passes over ports that a
// socket is bound to, and one that doesn't listen still refuses connections.
type reservation struct {
	socket  int
	address string
}

// reserve picks a port of the loopback address that the kernel has free.
func reserve() (reservation, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservation{}, errors.Wrap(err, "reserve a port")
	}
	r := reservation{socket: socket}
	// With SO_REUSEADDR on both, the relay's listener may have the port as well.
	err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		r.address, err = boundTo(socket)
	}
	if err != nil {
		r.release()
		return reservation{}, errors.Wrap(err, "reserve a port")
	}
	return r, nil
}

func boundTo(socket int) (string, error) {
	name, err := syscall.Getsockname(socket)
	if err != nil {
		return "", err
	}
	at, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", errors.Errorf("not an IPv4 address: %v", name)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String(), nil
}

func (r reservation) release() { _ = syscall.Close(r.socket) }
