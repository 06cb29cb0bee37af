package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/platform"
)

// startWithRawServer starts an environment with a single backend server that runs
// respond for each request, after it has read its head and body.
func startWithRawServer(t *testing.T, respond func(conn net.Conn, r *http.Request)) *testEnv {
	t.Helper()
	env := newTestEnv(t, 0, nil)
	env.addRawServer(respond)
	env.configure(1, `"k0"`, testRoutes...)
	gomega.NewWithT(t).Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return env
}

// addRawServer adds a backend server that runs respond for each request.
func (env *testEnv) addRawServer(respond func(conn net.Conn, r *http.Request)) {
	env.t.Helper()
	env.addConnServer(func(conn net.Conn) { serveRaw(conn, respond) })
}

// addConnServer adds a backend server that runs serve for each connection.
func (env *testEnv) addConnServer(serve func(conn net.Conn)) {
	env.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	env.store.Put("servers", "i-raw-"+strings.ReplaceAll(listener.Addr().String(), ":", "-"), fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":1,"born":1}`, listener.Addr()))
}

// serveRaw serves the requests of a connection with respond.
func serveRaw(conn net.Conn, respond func(conn net.Conn, r *http.Request)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		respond(conn, r)
	}
}

// A faulty backend server responds with a status code that HTTP doesn't have, signed
// like any other. net/http panics when such a status is written, so the caller's
// connection was closed without a response and without a log line. It is a failure of
// the server.
func TestInvalidStatusCodeIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		for _, path := range []string{"/once/1", "/large/1", "/stream/1"} {
			t.Run(status+path, func(t *testing.T) {
				g := gomega.NewWithT(t)
				env := startWithRawServer(t, func(conn net.Conn, r *http.Request) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nContent-Length: 2\r\n\r\nab", status, r.Header.Get("Attempt-Id"))
				})
				c := env.send(testRequest{id: "r1", path: path}).readHead()
				g.Expect(c.Err).NotTo(gomega.HaveOccurred(), "closed without a response")
				g.Expect(c.Status).To(gomega.Equal(502))
				g.Expect(c.Header).NotTo(gomega.HaveKey("Response-Signature"), "this response is not from a server")
				env.expectEnd("r1", requestEnd{"server", "PY2722", "Its backend server "})
			})
		}
	}
}

// A request takes longer to arrive than its caller waits. It is refused as not run, by
// its deadline.
func TestEndedByDeadlineBeforeBodyIsComplete(t *testing.T) {
	g, env := gomega.NewWithT(t), startServing(t, 1, nil)
	conn, err := net.Dial("tcp4", env.callerAddr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: r1\r\nDeadline-Ms: 200\r\nAuthorization: Token k0\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n", testHost)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reader := bufio.NewReader(conn)
	// The process asks for the body after it has received the request, from when the
	// deadline counts.
	interim, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(interim.StatusCode).To(gomega.Equal(http.StatusContinue))
	_, err = conn.Write([]byte("a"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	_, err = conn.Write([]byte("b"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.StatusCode).To(gomega.Equal(503))
	env.expectServerEnds("r1")
	env.expectEnd("r1", requestEnd{"deadline", "PY2761", "It was refused and has not run: its last byte came after"})
}

// The grace period of a planned stop ends while calls run that must not run twice, or
// streams that have not begun. No part of a response has been sent, so the callers get
// one that says that the request may have run, instead of a closed connection.
func TestStopAnswersRequestsWithoutResponse(t *testing.T) {
	for _, path := range []string{"/once/1", "/large/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			env := newTestEnv(t, 0, func(s *platform.Settings) { s.Grace = 500 * time.Millisecond })
			reached := make(chan struct{}, 1)
			env.addRawServer(func(_ net.Conn, r *http.Request) {
				if r.Header.Get("Attempt-Id") == "r1" {
					reached <- struct{}{} // and never responds
				}
			})
			env.configure(1, `"k0"`, testRoutes...)
			g.Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
			c := env.send(testRequest{id: "r1", path: path})
			g.Eventually(reached, "5s").Should(gomega.Receive())
			env.stop()
			g.Expect(c.readHead().Err).NotTo(gomega.HaveOccurred(), "closed without a response")
			g.Expect(c.Status).To(gomega.Equal(502))
			g.Expect(c.readRest().Err).NotTo(gomega.HaveOccurred())
			env.expectEnd("r1", requestEnd{"stop", "PY2734", "The planned stop of edge-1 cut it after"})
		})
	}
}
