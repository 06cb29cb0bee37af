package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startWithSilentServers starts an environment with two servers that run respond for request r1.
// arrival is the number of its arrival at a server, from 1.
func startWithSilentServers(t *testing.T, respond func(conn net.Conn, r *http.Request, arrival int32)) (*testEnv, *atomic.Int32) {
	t.Helper()
	var arrivals atomic.Int32
	env := newTestEnv(t, 0, nil)
	each := func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Attempt-Id") == "r1" {
			respond(conn, r, arrivals.Add(1))
		}
	}
	env.addRawServer(each)
	env.addRawServer(each)
	env.configure(1, `"k0"`, append(testRoutes,
		testRoute("/twice/", "idempotent", `"maxAttempts":2,"timeoutMs":8000`), testRoute("/brief/", "non_idempotent", `"maxAttempts":1,"timeoutMs":700`))...)
	gomega.NewWithT(t).Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return env, &arrivals
}

// silentCase is a call and its expected result.
type silentCase struct {
	path        string
	timeout     time.Duration
	respond     func(conn net.Conn, r *http.Request, arrival int32)
	status      int
	from, until time.Duration // when the response is complete
	arrivals    int32
	event       requestEnd
}

// neverRespond doesn't respond.
func neverRespond(net.Conn, *http.Request, int32) {}

// A call's server doesn't respond. That doesn't show that the call failed, so a call
// that must not run twice isn't sent again, and its caller is told that it may have run
// no sooner than at its deadline. A call that may be repeated is sent a second time after
// half of its latency objective, and the first complete response counts.
func TestCallsToSilentServers(t *testing.T) {
	const slack = 250 * time.Millisecond // for a busy machine
	for name, c := range map[string]silentCase{
		"at most once": {"/once/1", time.Second, neverRespond, 504, time.Second, time.Second + slack, 1, requestEnd{"deadline", "PY2722", "Its caller's deadline passed after"}},
		"route's time": {"/brief/1", 5 * time.Second, neverRespond, 504, 700 * time.Millisecond, 700*time.Millisecond + slack, 1, requestEnd{"route_timeout", "PY2722", "Its route's timeout passed after"}},
		"both silent":  {"/twice/1", time.Second, neverRespond, 504, time.Second, time.Second + slack, 2, requestEnd{"deadline", "PY2722", "Its caller's deadline passed after"}},
		"first silent": {"/twice/1", 3 * time.Second, func(conn net.Conn, r *http.Request, arrival int32) {
			if arrival == 2 {
				writeRawResponse(conn, r, 200, "ok")
			}
		}, 200, 150 * time.Millisecond, 150*time.Millisecond + slack, 2, requestEnd{"answer", "PY2720", "It was served after"}},
		"first late": {"/twice/1", 3 * time.Second, func(conn net.Conn, r *http.Request, arrival int32) {
			if arrival == 1 {
				time.Sleep(600 * time.Millisecond)
				writeRawResponse(conn, r, 200, "ok")
			}
		}, 200, 600 * time.Millisecond, 600*time.Millisecond + slack, 2, requestEnd{"answer", "PY2720", "It was served after"}},
		"second breaks": {"/twice/1", 3 * time.Second, func(conn net.Conn, r *http.Request, arrival int32) {
			if arrival == 2 {
				_ = conn.Close()
				return
			}
			time.Sleep(600 * time.Millisecond)
			writeRawResponse(conn, r, 200, "ok")
		}, 200, 600 * time.Millisecond, 600*time.Millisecond + slack, 2, requestEnd{"answer", "PY2720", "It was served after"}},
		"both break": {"/twice/1", 3 * time.Second, func(conn net.Conn, _ *http.Request, arrival int32) {
			time.Sleep(time.Duration(arrival) * 200 * time.Millisecond)
			_ = conn.Close()
		}, 502, 500 * time.Millisecond, 550*time.Millisecond + slack, 2, requestEnd{"server", "PY2722", "Its backend server "}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			env, arrivals := startWithSilentServers(t, c.respond)
			began := time.Now()
			got := env.send(testRequest{id: "r1", path: c.path, timeout: c.timeout}).readRest()
			took := time.Since(began)
			g.Expect(got.Err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Status).To(gomega.Equal(c.status))
			g.Expect(took).To(gomega.And(gomega.BeNumerically(">=", c.from-20*time.Millisecond), gomega.BeNumerically("<", c.until)))
			g.Expect(arrivals.Load()).To(gomega.Equal(c.arrivals))
			env.expectEnd("r1", c.event)
		})
	}
}

// A server stops sending in the middle of a large response whose beginning the caller
// has received. The response is aborted at the deadline and not sooner.
func TestServerFallsSilentDuringLargeResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startWithRawServer(t, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Attempt-Id"), 400<<10, strings.Repeat("x", 300<<10))
		_, _ = io.Copy(io.Discard, conn)
	})
	began := time.Now()
	c := env.send(testRequest{id: "r1", path: "/large/1", timeout: 1500 * time.Millisecond}).readHead()
	g.Expect(c.Status).To(gomega.Equal(200))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second), "the beginning isn't held back")
	g.Expect(c.readRest().Err).To(gomega.HaveOccurred())
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 1400*time.Millisecond))
	env.expectEnd("r1", requestEnd{"deadline", "PY2722", "Its caller's deadline passed after"})
}
