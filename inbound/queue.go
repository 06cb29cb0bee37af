package inbound

import (
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// closeTakingQueue accepts the connections in a listener's queue and stops listening right
// behind the last one.
//
// net.Listener.Close is not enough: while an Accept is in progress, the socket goes on
// listening until the goroutine of that Accept has run. Clients that connect meanwhile are
// reset, with their requests.
func closeTakingQueue(l net.Listener) ([]net.Conn, error) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return nil, errors.Wrap(l.Close(), "inbound: close listener")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "inbound: close listener")
	}
	var sockets []int
	var shutdownErr error
	err = raw.Control(func(fd uintptr) {
		sockets = acceptAll(int(fd))
		shutdownErr = syscall.Shutdown(int(fd), syscall.SHUT_RD)
	})
	queued, connErr := connsOf(sockets)
	closeErr := l.Close()
	for _, err := range []error{err, shutdownErr, connErr, closeErr} {
		if err != nil {
			return queued, errors.Wrap(err, "inbound: close listener")
		}
	}
	return queued, nil
}

// acceptAll accepts until the queue of a non-blocking listener is empty or can't be read.
func acceptAll(listener int) []int {
	var sockets []int
	for {
		socket, _, err := syscall.Accept(listener)
		switch err {
		case nil:
			sockets = append(sockets, socket)
		case syscall.EINTR, syscall.ECONNABORTED: // a client that has left already
		default:
			return sockets
		}
	}
}

// connsOf returns sockets as connections, and the last error of those that could not be used.
func connsOf(sockets []int) ([]net.Conn, error) {
	var conns []net.Conn
	var failed error
	for _, socket := range sockets {
		file := os.NewFile(uintptr(socket), "queued connection")
		conn, err := net.FileConn(file) // has a descriptor of its own
		_ = file.Close()
		if err != nil {
			failed = err
			continue
		}
		conns = append(conns, conn)
	}
	return conns, failed
}
