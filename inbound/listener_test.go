package inbound

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
)

// startServer starts a server with limits that the test may change.
func startServer(t *testing.T, limits *Limits, h http.HandlerFunc) (*Listener, string) {
	server := httptest.NewUnstartedServer(nil)
	l := New(server.Listener, Options{Limits: func() Limits { return *limits }, Recorder: event.Discard()})
	server.Listener, server.Config.Handler = l, h
	l.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return l, l.Addr().String()
}

func (l *Listener) countInPhase(phase connPhase) func() int {
	return func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		n := 0
		for conn := range l.open {
			if conn.phase.Load() == phase {
				n++
			}
		}
		return n
	}
}

func dialClient(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func isClosed(conn net.Conn) func() bool {
	return func() bool {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return err != nil && !(ok && timeout.Timeout())
	}
}

// Clients leave unused connections open. They are closed by the limit of the
// configuration in force, also when it becomes shorter, and not before. A connection
// that serves a request stays open.
func TestIdleConnectionsAreClosedByCurrentLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{IdleTime: time.Minute}
	release := make(chan struct{})
	l, address := startServer(t, &limits, func(http.ResponseWriter, *http.Request) { <-release })
	idle, busy := dialClient(t, address), dialClient(t, address)
	_, _ = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Eventually(l.countInPhase(phaseIdle)).Should(gomega.Equal(1))
	g.Eventually(l.countInPhase(phaseServing)).Should(gomega.Equal(1))
	l.sweep(time.Now().Add(50 * time.Second))
	g.Consistently(isClosed(idle), "20ms").Should(gomega.BeFalse())
	limits.IdleTime = 10 * time.Second
	l.sweep(time.Now().Add(50 * time.Second))
	g.Eventually(isClosed(idle)).Should(gomega.BeTrue())
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
}

// A client sends a request's header too slowly. Its connection is closed by the
// limit, and the request is not served even if the rest arrives at that moment.
func TestSlowHeadersAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{HeaderTime: 3 * time.Second, IdleTime: time.Minute}
	served := make(chan struct{}, 1)
	l, address := startServer(t, &limits, func(http.ResponseWriter, *http.Request) { served <- struct{}{} })
	slow := dialClient(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\n")
	g.Eventually(l.countInPhase(phaseHeader)).Should(gomega.Equal(1))
	l.sweep(time.Now().Add(2 * time.Second))
	g.Expect(l.countInPhase(phaseDropped)()).To(gomega.BeZero())
	l.sweep(time.Now().Add(4 * time.Second))
	_, _ = io.WriteString(slow, "Host: h\r\n\r\n")
	g.Eventually(isClosed(slow)).Should(gomega.BeTrue())
	g.Consistently(served, "20ms").ShouldNot(gomega.Receive())
}

// Without a limit, and before there is a configuration, nothing is closed.
func TestNoLimitClosesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{}
	l, address := startServer(t, &limits, func(http.ResponseWriter, *http.Request) {})
	conn := dialClient(t, address)
	g.Eventually(l.countInPhase(phaseIdle)).Should(gomega.Equal(1))
	l.sweep(time.Now().Add(time.Hour))
	g.Consistently(isClosed(conn), "20ms").Should(gomega.BeFalse())
}

// The process stalls for longer than a limit. What clients sent meanwhile is still
// unread, so no connection is closed for it, and the limits start again.
func TestNothingIsClosedAfterStall(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{HeaderTime: 3 * time.Second, IdleTime: 10 * time.Second}
	l, address := startServer(t, &limits, func(http.ResponseWriter, *http.Request) {})
	conn := dialClient(t, address)
	g.Eventually(l.countInPhase(phaseIdle)).Should(gomega.Equal(1))
	resumed := time.Now().Add(20 * time.Second)
	l.tick(resumed, 20*time.Second)
	l.tick(resumed.Add(sweepInterval), sweepInterval)
	g.Consistently(isClosed(conn), "20ms").Should(gomega.BeFalse())
	l.tick(resumed.Add(11*time.Second), sweepInterval)
	g.Eventually(isClosed(conn)).Should(gomega.BeTrue())
}
