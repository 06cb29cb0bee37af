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

// lateListener is that of a process which gets no processor time: what it
// accepts, or the reads of its connections, wait until the test lets them go on.
type lateListener struct {
	net.Listener
	holdsAccept bool
	holdsReads  bool
	release     chan struct{}
	closed      chan struct{}
	once        sync.Once
	accepted    atomic.Pointer[net.Conn] // the newest
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &lateListener{Listener: l, release: make(chan struct{}), closed: make(chan struct{})}
}

func (l *lateListener) Accept() (net.Conn, error) {
	if l.holdsAccept {
		<-l.release
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Store(&conn)
	return &lateConn{Conn: conn, late: l}, nil
}

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func (l *lateListener) unread() bool {
	conn := l.accepted.Load()
	return conn != nil && httpconn.HasUnreadData(*conn)
}

func (l *lateListener) read() {
	if l.holdsReads {
		<-l.release
	}
}

type lateConn struct {
	net.Conn
	late *lateListener
}

func (c *lateConn) Read(b []byte) (int, error) {
	c.late.read()
	return c.Conn.Read(b)
}

func (c *lateConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return &lateRaw{RawConn: raw, late: c.late}, err
}

type lateRaw struct {
	syscall.RawConn
	late *lateListener
}

func (r *lateRaw) Read(f func(uintptr) bool) error {
	r.late.read()
	return r.RawConn.Read(f)
}

// stoppable serves on l until end is called; ended is closed when it has.
func stoppable(t *testing.T, l net.Listener, handler http.HandlerFunc) (end func(), ended chan struct{}) {
	t.Helper()
	var group run.Group
	serve(&group, l, handler, (&base{}).answersPatience, event.Discard())
	stop, stopped := context.WithCancel(t.Context())
	actor(&group, func(context.Context) error {
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

func dialed(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func sendTo(conn net.Conn) { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }

func answerOn(conn net.Conn) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func whole(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// A router or a sidecar has stopped as planned: nothing runs any more. A caller
// has connected and sent its request, and the process has not got to its queue
// of connections. The listener was closed with it: the caller saw a reset.
func TestConnectionInTheQueueAtTheEndOfAStopIsAnswered(t *testing.T) {
	g := NewWithT(t)
	l := newLateListener(t)
	l.holdsAccept = true
	end, ended := stoppable(t, l, whole)
	conn := dialed(t, l)
	sendTo(conn)
	end()
	select {
	case <-l.closed:
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	got, err := answerOn(conn)
	g.Expect(err).NotTo(HaveOccurred(), "neither an answer nor a refusal")
	g.Expect(got).To(Equal("whole"))
	g.Eventually(ended, "5s").Should(BeClosed())
}

// The same with a connection that was accepted, whose request the process has
// not read: the server that shuts down reads it and closes the connection.
func TestRequestUnreadAtTheEndOfAStopIsAnswered(t *testing.T) {
	g := NewWithT(t)
	l := newLateListener(t)
	l.holdsReads = true
	end, ended := stoppable(t, l, whole)
	conn := dialed(t, l)
	sendTo(conn)
	g.Eventually(l.unread).Should(BeTrue())
	end()
	g.Consistently(ended, "100ms").ShouldNot(BeClosed())
	close(l.release)
	got, err := answerOn(conn)
	g.Expect(err).NotTo(HaveOccurred(), "neither an answer nor a refusal")
	g.Expect(got).To(Equal("whole"))
	g.Eventually(ended, "5s").Should(BeClosed())
}

// Other processes go on asking on their kept connections while one ends. Each
// is told with its next answer to come back no more, so the end doesn't wait.
func TestEndOfAStopDoesNotWaitForThoseThatKeepAsking(t *testing.T) {
	g := NewWithT(t)
	l := newLateListener(t)
	end, ended := stoppable(t, l, whole)
	client := &http.Client{}
	asking, enough := context.WithCancel(t.Context())
	var asked atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		for asking.Err() == nil {
			resp, err := client.Get("http://" + l.Addr().String() + "/")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			asked.Add(1)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	g.Eventually(asked.Load).Should(BeNumerically(">", 2))
	end()
	g.Eventually(ended, "5s").Should(BeClosed())
	enough()
	<-done
}
