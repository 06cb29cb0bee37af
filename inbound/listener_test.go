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

// bounded serves callers within limits that a test may change.
func bounded(t *testing.T, limits *Limits, h http.HandlerFunc) (*Listener, string) {
	server := httptest.NewUnstartedServer(nil)
	c := New(server.Listener, Options{Limits: func() Limits { return *limits }, Recorder: event.Discard()})
	server.Listener, server.Config.Handler = c, h
	c.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return c, c.Addr().String()
}

func (c *Listener) in(phase clientPhase) func() int {
	return func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		n := 0
		for conn := range c.open {
			if conn.phase.Load() == phase {
				n++
			}
		}
		return n
	}
}

func dialCaller(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func closed(conn net.Conn) func() bool {
	return func() bool {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		return err != nil && !(ok && timeout.Timeout())
	}
}

// Callers leave connections open that they no longer use. They are closed by
// the limit of the configuration in force, also when it becomes shorter, and
// not before; a connection that is in use stays.
func TestIdleConnectionsAreClosedByTheConfigurationsLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{IdleTime: time.Minute}
	release := make(chan struct{})
	c, address := bounded(t, &limits, func(http.ResponseWriter, *http.Request) { <-release })
	idle, busy := dialCaller(t, address), dialCaller(t, address)
	_, _ = io.WriteString(busy, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	g.Eventually(c.in(clientIdle)).Should(gomega.Equal(1))
	g.Eventually(c.in(clientServed)).Should(gomega.Equal(1))
	c.sweep(time.Now().Add(50 * time.Second))
	g.Consistently(closed(idle), "20ms").Should(gomega.BeFalse())
	limits.IdleTime = 10 * time.Second
	c.sweep(time.Now().Add(50 * time.Second))
	g.Eventually(closed(idle)).Should(gomega.BeTrue())
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
}

// A caller sends a request's head byte by byte. It is cut off by the limit, and
// nothing of it is handed on even if the rest comes at that moment.
func TestSlowHeadsAreCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{HeaderTime: 3 * time.Second, IdleTime: time.Minute}
	served := make(chan struct{}, 1)
	c, address := bounded(t, &limits, func(http.ResponseWriter, *http.Request) { served <- struct{}{} })
	slow := dialCaller(t, address)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\n")
	g.Eventually(c.in(clientHead)).Should(gomega.Equal(1))
	c.sweep(time.Now().Add(2 * time.Second))
	g.Expect(c.in(clientDropped)()).To(gomega.BeZero())
	c.sweep(time.Now().Add(4 * time.Second))
	_, _ = io.WriteString(slow, "Host: h\r\n\r\n")
	g.Eventually(closed(slow)).Should(gomega.BeTrue())
	g.Consistently(served, "20ms").ShouldNot(gomega.Receive())
}

// Without a limit, and before there is a configuration, nothing is closed.
func TestNoLimitClosesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{}
	c, address := bounded(t, &limits, func(http.ResponseWriter, *http.Request) {})
	conn := dialCaller(t, address)
	g.Eventually(c.in(clientIdle)).Should(gomega.Equal(1))
	c.sweep(time.Now().Add(time.Hour))
	g.Consistently(closed(conn), "20ms").Should(gomega.BeFalse())
}

// An entry VM stood still for longer than a limit. What its callers sent
// meanwhile is still unread, so nobody is cut off for it; the limits count anew.
func TestNobodyIsCutOffForAFreeze(t *testing.T) {
	g := gomega.NewWithT(t)
	limits := Limits{HeaderTime: 3 * time.Second, IdleTime: 10 * time.Second}
	c, address := bounded(t, &limits, func(http.ResponseWriter, *http.Request) {})
	conn := dialCaller(t, address)
	g.Eventually(c.in(clientIdle)).Should(gomega.Equal(1))
	woken := time.Now().Add(20 * time.Second)
	c.look(woken, 20*time.Second)
	c.look(woken.Add(clientsLook), clientsLook)
	g.Consistently(closed(conn), "20ms").Should(gomega.BeFalse())
	c.look(woken.Add(11*time.Second), clientsLook)
	g.Eventually(closed(conn)).Should(gomega.BeTrue())
}
