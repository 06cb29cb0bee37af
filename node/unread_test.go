package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oklog/run"
	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/httpconn"
)

// stalledListener simulates a process that gets no CPU time: accepting connections, or
// reading from them, blocks until the test closes release.
type stalledListener struct {
	net.Listener
	blockAccept bool
	blockReads  bool
	release     chan struct{}
	closed      chan struct{}
	once        sync.Once
	accepted    atomic.Pointer[net.Conn] // the most recent connection
}

func newStalledListener(t *testing.T) *stalledListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &stalledListener{Listener: l, release: make(chan struct{}), closed: make(chan struct{})}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	if l.blockAccept {
		<-l.release
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Store(&conn)
	return &stalledConn{Conn: conn, listener: l}, nil
}

func (l *stalledListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SyscallConn implements syscall.Conn.
func (l *stalledListener) SyscallConn() (syscall.RawConn, error) {
	return l.Listener.(syscall.Conn).SyscallConn()
}

// hasUnreadData reports whether the process has unread data on its newest connection.
func (l *stalledListener) hasUnreadData() bool {
	conn := l.accepted.Load()
	return conn != nil && httpconn.HasUnreadData(*conn)
}

func (l *stalledListener) waitRead() {
	if l.blockReads {
		<-l.release
	}
}

type stalledConn struct {
	net.Conn
	listener *stalledListener
}

func (c *stalledConn) Read(b []byte) (int, error) {
	c.listener.waitRead()
	return c.Conn.Read(b)
}

func (c *stalledConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return &stalledRawConn{RawConn: raw, listener: c.listener}, err
}

type stalledRawConn struct {
	syscall.RawConn
	listener *stalledListener
}

func (r *stalledRawConn) Read(f func(uintptr) bool) error {
	r.listener.waitRead()
	return r.RawConn.Read(f)
}

// startServer serves on l until end is called; ended is closed when the server has ended.
func startServer(t *testing.T, l net.Listener, handler http.HandlerFunc) (end func(), ended chan struct{}) {
	t.Helper()
	var group run.Group
	addServer(&group, l, handler, (&base{}).responseTimeout, event.Discard())
	stop, stopped := context.WithCancel(t.Context())
	addActor(&group, func(context.Context) error {
		<-stop.Done()
		return nil
	})
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		if err := group.Run(); err != nil {
			t.Error(err)
		}
	}()
	return stopped, ended
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func sendRequest(conn net.Conn) { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }

func readResponse(conn net.Conn) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func writeWhole(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// A router or sidecar has finished a planned stop and nothing runs any more. A caller has
// connected and sent its request, but the process hasn't accepted the connection yet.
// Closing the listener closed the connection too, and the caller saw a reset.
func TestConnectionInTheQueueAtTheEndOfAStopIsAnswered(t *testing.T) {
	g := NewWithT(t)
	l := newStalledListener(t)
	l.blockAccept = true
	end, ended := startServer(t, l, writeWhole)
	conn := dial(t, l)
	sendRequest(conn)
	end()
	select {
	case <-l.closed:
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	got, err := readResponse(conn)
	g.Expect(err).NotTo(HaveOccurred(), "neither a response nor a refused connection")
	g.Expect(got).To(Equal("whole"))
	g.Eventually(ended, "5s").Should(BeClosed())
}

// The same with a connection that was accepted but whose request has not been read: the
// server that shuts down must read the request, respond, and close the connection.
func TestRequestUnreadAtTheEndOfAStopIsAnswered(t *testing.T) {
	g := NewWithT(t)
	l := newStalledListener(t)
	l.blockReads = true
	end, ended := startServer(t, l, writeWhole)
	conn := dial(t, l)
	sendRequest(conn)
	g.Eventually(l.hasUnreadData).Should(BeTrue())
	end()
	g.Consistently(ended, "100ms").ShouldNot(BeClosed())
	close(l.release)
	got, err := readResponse(conn)
	g.Expect(err).NotTo(HaveOccurred(), "neither a response nor a refused connection")
	g.Expect(got).To(Equal("whole"))
	g.Eventually(ended, "5s").Should(BeClosed())
}

// Other processes keep sending requests on their open connections while this one ends.
// Each is told with the next response to close its connection, so the end isn't delayed.
func TestEndOfAStopDoesNotWaitForThoseThatKeepAsking(t *testing.T) {
	g := NewWithT(t)
	l := newStalledListener(t)
	end, ended := startServer(t, l, writeWhole)
	client := &http.Client{}
	ctx, cancel := context.WithCancel(t.Context())
	var requests atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			resp, err := client.Get("http://" + l.Addr().String() + "/")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			requests.Add(1)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	g.Eventually(requests.Load).Should(BeNumerically(">", 2))
	end()
	g.Eventually(ended, "5s").Should(BeClosed())
	cancel()
	<-done
}
