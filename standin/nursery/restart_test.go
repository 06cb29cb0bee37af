package nursery

import (
	"net"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// maxServers bounds how many servers are started until one has a port that is free on
// the callers' address.
const maxServers = 20

// Guards against a server that can't restart because a call made while it was down uses
// its port as the call's local port.
func TestServerRestartsWhileACallUsesItsPort(t *testing.T) {
	g := gomega.NewWithT(t)
	store, err := NewStore()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer store.Close()
	server, call := crashedServerWithCallFromItsPort(g, store)
	defer call.Close()
	g.Expect(server.RestartWithSameID()).To(gomega.Succeed())
	server.Crash()
}

func crashedServerWithCallFromItsPort(g *gomega.WithT, store *Store) (*Server, net.Conn) {
	cloud := NewCloud(store)
	for range maxServers {
		server, err := cloud.NewServer("s", "a", func(own string) string { return own })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		server.Crash()
		call, err := dialFromPortOf(server, store.Address)
		if err == nil {
			return server, call
		}
		// A connection of another process, perhaps in TIME_WAIT, has the port.
		g.Expect(errors.Is(err, syscall.EADDRINUSE)).To(gomega.BeTrue(), err.Error())
	}
	g.Fail("no server's port was free on the callers' address")
	return nil, nil
}

func dialFromPortOf(server *Server, to string) (net.Conn, error) {
	_, port, err := net.SplitHostPort(server.Address)
	if err != nil {
		return nil, err
	}
	own, err := net.ResolveTCPAddr("tcp4", "127.0.0.1:"+port)
	if err != nil {
		return nil, err
	}
	return (&net.Dialer{LocalAddr: own}).Dial("tcp4", to)
}
