package nursery

import (
	"net"
	"testing"

	"github.com/onsi/gomega"
)

// A server is down for a moment, and a call that some process makes just then has
// the server's port as its own end. The server could not start again: "address
// already in use", in two of many runs of a test that starts servers again.
func TestServerStartsAgainThoughACallHasItsPort(t *testing.T) {
	g := gomega.NewWithT(t)
	store, err := NewStore()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer store.Close()
	server, err := NewCloud(store).NewServer("s", "a", func(own string) string { return own })
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, port, err := net.SplitHostPort(server.Address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server.Crash()
	own, err := net.ResolveTCPAddr("tcp4", "127.0.0.1:"+port)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var call net.Conn
	g.Eventually(func() (err error) {
		call, err = (&net.Dialer{LocalAddr: own}).Dial("tcp4", store.Address)
		return err
	}).Should(gomega.Succeed(), "the listener's close takes a moment")
	defer call.Close()
	g.Expect(server.RestartUnderItsID()).To(gomega.Succeed())
	server.Crash()
}
