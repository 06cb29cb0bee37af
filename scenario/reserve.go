package scenario

import (
	"net/netip"
	"syscall"

	"github.com/pkg/errors"
)

// reservation reserves a port for a relay while its process doesn't run.
//
// Without it, the kernel may assign the port to another process's outgoing connection
// while nothing listens there, and the relay's next listen fails with "address already
// in use". The kernel doesn't assign ports to which a socket is bound, and a bound socket
// that doesn't listen still refuses connections.
type reservation struct {
	fd      int
	address string
}

// reservePort reserves a free port of the loopback address, chosen by the kernel.
func reservePort() (reservation, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservation{}, errors.Wrap(err, "reserve a port")
	}
	r := reservation{fd: fd}
	// With SO_REUSEADDR on both sockets, the relay's listener can use the port as well.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		r.address, err = localAddress(fd)
	}
	if err != nil {
		r.release()
		return reservation{}, errors.Wrap(err, "reserve a port")
	}
	return r, nil
}

// localAddress returns the ip:port to which the socket is bound.
func localAddress(fd int) (string, error) {
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	at, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return "", errors.Errorf("not an IPv4 address: %v", name)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String(), nil
}

func (r reservation) release() { _ = syscall.Close(r.fd) }
