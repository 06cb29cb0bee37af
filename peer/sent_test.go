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

// connect returns both ends of a connection made by the peer's dial function.
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

// A sidecar dies while a connection to it is idle, and a router on a busy machine sends
// the next request before its transport has noticed. The caller was told that the outcome
// is unknown although nobody can have run the request. It must be told that it was not
// run, and nothing more may be written for that request.
func TestCallOnClosedConnectionIsNotSent(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client, server := connect(t)
			end(server)
			g.Eventually(func() bool { return httpconn.PeerClosed(client.(*reusableConn).Conn) }).Should(BeTrue())
			var guard SentGuard
			guard.gotConn(httptrace.GotConnInfo{Conn: client, Reused: true})
			for range 2 {
				n, err := client.Write([]byte("call"))
				g.Expect(n).To(BeZero())
				g.Expect(err).To(MatchError(errConnectionClosed))
			}
			g.Expect(guard.MayHaveSent()).To(BeFalse())
		})
	}
}

// With a connection that is alive, or that ends after the call's first byte, the other
// process may have received the call.
func TestCallOnOpenConnectionMayHaveBeenSent(t *testing.T) {
	g := NewWithT(t)
	client, server := connect(t)
	var guard SentGuard
	guard.gotConn(httptrace.GotConnInfo{Conn: client, Reused: true})
	g.Expect(client.Write([]byte("ca"))).To(Equal(2))
	g.Expect(server.Close()).To(Succeed())
	g.Eventually(func() bool { return httpconn.PeerClosed(client.(*reusableConn).Conn) }).Should(BeTrue())
	_, _ = client.Write([]byte("ll"))
	g.Expect(guard.MayHaveSent()).To(BeTrue())
}

// Checking a connection must not wait for a pending read: the transport always has one on
// an idle connection.
func TestCallIsSentDespitePendingRead(t *testing.T) {
	g := NewWithT(t)
	client, server := connect(t)
	go func() { _, _ = client.Read(make([]byte, 1)) }()
	time.Sleep(10 * time.Millisecond) // lets the read begin
	var guard SentGuard
	guard.gotConn(httptrace.GotConnInfo{Conn: client, Reused: true})
	sent := make(chan error, 1)
	go func() { _, err := client.Write([]byte("call")); sent <- err }()
	g.Eventually(sent).Should(Receive(BeNil()))
	got := make([]byte, 4)
	_, err := io.ReadFull(server, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(guard.MayHaveSent()).To(BeTrue())
}
