package peer

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/httpconn"
)

// connect returns both ends of a connection that the peer's transport would keep.
func connect(t *testing.T) (client, server net.Conn) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	client, err = dial(t.Context(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	server, err = listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// A sidecar dies while a connection to it idles. A router on a busy machine
// sends the next request before its transport has noticed. The caller was told
// "unknown" of a request that nobody can have run; it must be "not run", and
// nothing more may be written for that request.
func TestCallOnConnectionEndedBeforeHasNotLeft(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := connect(t)
			end(server)
			g.Eventually(func() bool { return httpconn.PeerClosed(client.(*keptConn).Conn) }).Should(BeTrue())
			var guard SentGuard
			guard.gotConn(httptrace.GotConnInfo{Conn: client, Reused: true})
			for range 2 {
				n, err := client.Write([]byte("call"))
				g.Expect(n).To(BeZero())
				g.Expect(err).To(MatchError(errEndedBefore))
			}
			g.Expect(guard.MayHaveLeft()).To(BeFalse())
		})
	}
}

// The same with a connection that lives, or that ends after the call's first
// byte: the other side may have the call.
func TestCallOnLivingConnectionMayHaveLeft(t *testing.T) {
	g := NewWithT(t)
	client, server := connect(t)
	var guard SentGuard
	guard.gotConn(httptrace.GotConnInfo{Conn: client, Reused: true})
	g.Expect(client.Write([]byte("ca"))).To(Equal(2))
	g.Expect(server.Close()).To(Succeed())
	g.Eventually(func() bool { return httpconn.PeerClosed(client.(*keptConn).Conn) }).Should(BeTrue())
	_, _ = client.Write([]byte("ll"))
	g.Expect(guard.MayHaveLeft()).To(BeTrue())
}

// The look at a connection mustn't wait for a read that is under way, as the
// transport always has one pending on a connection that it keeps.
func TestCallGoesOutBesidePendingRead(t *testing.T) {
	g := NewWithT(t)
	client, server := connect(t)
	go func() { _, _ = client.Read(make([]byte, 1)) }()
	time.Sleep(10 * time.Millisecond) // let the read begin
	var guard SentGuard
	guard.gotConn(httptrace.GotConnInfo{Conn: client, Reused: true})
	sent := make(chan error, 1)
	go func() { _, err := client.Write([]byte("call")); sent <- err }()
	g.Eventually(sent).Should(Receive(BeNil()))
	got := make([]byte, 4)
	_, err := io.ReadFull(server, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(guard.MayHaveLeft()).To(BeTrue())
}
