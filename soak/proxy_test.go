package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a server that is not told that its caller has closed while a VM is being
// started: the new process has copies of the proxies' descriptors until it runs its program.
func TestProxyTellsACloseBesideAStartingProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer target.Close()
	proxy, err := NewProxy(target.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer proxy.Close()
	caller, err := net.Dial("tcp4", proxy.Address)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server, err := target.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	proxy.mu.Lock()
	for c := range proxy.conns {
		copied, err := c.(*net.TCPConn).File()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer copied.Close()
	}
	proxy.mu.Unlock()
	g.Expect(caller.Close()).To(gomega.Succeed())
	g.Expect(server.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
	_, err = server.Read(make([]byte, 1))
	g.Expect(err).To(gomega.Equal(io.EOF))
}
