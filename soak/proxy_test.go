package soak

import (
	"io"
	"net"
	"syscall"
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

// Guards against a reset that one of the two peers sees as an ordinary end of the connection.
func TestProxyResetsBothPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	target, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer target.Close()
	proxy, err := NewProxy(target.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer proxy.Close()
	for range 500 {
		caller, err := net.Dial("tcp4", proxy.Address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		server, err := target.Accept()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for _, pair := range [][2]net.Conn{{caller, server}, {server, caller}} {
			_, err = pair[0].Write([]byte("x"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = pair[1].Read(make([]byte, 1))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		proxy.Reset()
		for _, peer := range []net.Conn{caller, server} {
			g.Expect(peer.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
			_, err = peer.Read(make([]byte, 1))
			g.Expect(err).To(gomega.MatchError(syscall.ECONNRESET))
			g.Expect(peer.Close()).To(gomega.Succeed())
		}
	}
}

// Guards against a request that reaches a server after its VM has closed the connection, as the
// proxy was late to read it, and against one that a proxy drops although its VM waits or the path was cut.
func TestProxyDropsWhatItReadsAfterTheClose(t *testing.T) {
	const request = "POST /stream/r1 HTTP/1.1"
	for name, c := range map[string]struct {
		closes, late, reset bool
		want                string
	}{
		"closed before the proxy read it": {closes: true, late: true},
		"reset before the proxy read it":  {closes: true, late: true, reset: true},
		"the proxy reads late":            {late: true, want: request},
		"closed while the path is cut":    {closes: true, want: request},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			target, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer target.Close()
			front, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer front.Close()
			proxy := &Proxy{target: target.Addr().String(), listener: front, conns: map[net.Conn]struct{}{}}
			defer proxy.Close()
			caller, err := net.Dial("tcp4", front.Addr().String())
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer caller.Close()
			in, err := front.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if !c.late {
				proxy.Set(Silence)
				go proxy.serve(in)
			}
			_, err = io.WriteString(caller, request)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			time.Sleep(100 * time.Millisecond)
			if c.reset {
				g.Expect(caller.(*net.TCPConn).SetLinger(0)).To(gomega.Succeed())
			}
			if c.closes {
				g.Expect(caller.Close()).To(gomega.Succeed())
				time.Sleep(100 * time.Millisecond)
			}
			if c.late {
				go proxy.serve(in)
			}
			proxy.Set(Pass)
			server, err := target.Accept()
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer server.Close()
			g.Expect(server.SetReadDeadline(time.Now().Add(5 * time.Second))).To(gomega.Succeed())
			buf := make([]byte, len(request))
			n, err := io.ReadFull(server, buf)
			g.Expect(string(buf[:n])).To(gomega.Equal(c.want), "%v", err)
			if c.want == "" {
				g.Expect(err).To(gomega.Equal(io.EOF))
			}
		})
	}
}
