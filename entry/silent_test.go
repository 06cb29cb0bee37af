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

// silentServing starts a world with two servers; play gets the number of each
// arrival of the request r1, from 1.
func silentServing(t *testing.T, play func(conn net.Conn, r *http.Request, arrival int32)) (*world, *atomic.Int32) {
	t.Helper()
	var arrivals atomic.Int32
	w := newWorld(t, 0, nil)
	each := func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Attempt-Id") == "r1" {
			play(conn, r, arrivals.Add(1))
		}
	}
	w.addRaw(each)
	w.addRaw(each)
	w.configure(1, `"k0"`, append(testRoutes,
		testRoute("/twice/", "idempotent", `"maxAttempts":2,"timeoutMs":8000`), testRoute("/brief/", "non_idempotent", `"maxAttempts":1,"timeoutMs":700`))...)
	gomega.NewWithT(t).Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return w, &arrivals
}

// silentCase is a call and what its caller gets.
type silentCase struct {
	path        string
	wait        time.Duration
	play        func(conn net.Conn, r *http.Request, arrival int32)
	status      int
	from, until time.Duration // when
	arrivals    int32
	event       verdict
}

func silent(net.Conn, *http.Request, int32) {}

// A call's server is silent. A label may be printed already, so a silence alone
// proves nothing: the caller is told "may have run" when its time is over, not
// sooner, and the call isn't sent again. A call that may be repeated is asked for
// a second time after half of its objective, and the first whole answer counts.
func TestCallsWhoseServerIsSilent(t *testing.T) {
	const slack = 250 * time.Millisecond // of a busy machine
	for name, c := range map[string]silentCase{
		"at most once": {"/once/1", time.Second, silent, 504, time.Second, time.Second + slack, 1, verdict{"deadline", "PY2722", "Its caller's deadline passed after"}},
		"route's time": {"/brief/1", 5 * time.Second, silent, 504, 700 * time.Millisecond, 700*time.Millisecond + slack, 1, verdict{"route_timeout", "PY2722", "Its route's timeout passed after"}},
		"both silent":  {"/twice/1", time.Second, silent, 504, time.Second, time.Second + slack, 2, verdict{"deadline", "PY2722", "Its caller's deadline passed after"}},
		"first silent": {"/twice/1", 3 * time.Second, func(conn net.Conn, r *http.Request, arrival int32) {
			if arrival == 2 {
				rawAnswer(conn, r, 200, "ok")
			}
		}, 200, 150 * time.Millisecond, 150*time.Millisecond + slack, 2, verdict{"answer", "PY2720", "It was served after"}},
		"first late": {"/twice/1", 3 * time.Second, func(conn net.Conn, r *http.Request, arrival int32) {
			if arrival == 1 {
				time.Sleep(600 * time.Millisecond)
				rawAnswer(conn, r, 200, "ok")
			}
		}, 200, 600 * time.Millisecond, 600*time.Millisecond + slack, 2, verdict{"answer", "PY2720", "It was served after"}},
		"second breaks": {"/twice/1", 3 * time.Second, func(conn net.Conn, r *http.Request, arrival int32) {
			if arrival == 2 {
				_ = conn.Close()
				return
			}
			time.Sleep(600 * time.Millisecond)
			rawAnswer(conn, r, 200, "ok")
		}, 200, 600 * time.Millisecond, 600*time.Millisecond + slack, 2, verdict{"answer", "PY2720", "It was served after"}},
		"both break": {"/twice/1", 3 * time.Second, func(conn net.Conn, _ *http.Request, arrival int32) {
			time.Sleep(time.Duration(arrival) * 200 * time.Millisecond)
			_ = conn.Close()
		}, 502, 500 * time.Millisecond, 550*time.Millisecond + slack, 2, verdict{"server", "PY2722", "Its backend server "}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w, arrivals := silentServing(t, c.play)
			began := time.Now()
			got := w.send(ask{id: "r1", path: c.path, wait: c.wait}).rest()
			took := time.Since(began)
			g.Expect(got.Err).NotTo(gomega.HaveOccurred())
			g.Expect(got.Status).To(gomega.Equal(c.status))
			g.Expect(took).To(gomega.And(gomega.BeNumerically(">=", c.from-20*time.Millisecond), gomega.BeNumerically("<", c.until)))
			g.Expect(arrivals.Load()).To(gomega.Equal(c.arrivals))
			w.holds("r1", c.event)
		})
	}
}

// A server falls silent in the rest of a large answer, whose beginning its caller
// has: silence is no reason to end it sooner than its time, and then it is cut.
func TestServerFallsSilentInALargeAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	w := rawServing(t, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n%s",
			r.Header.Get("Attempt-Id"), 400<<10, strings.Repeat("x", 300<<10))
		_, _ = io.Copy(io.Discard, conn)
	})
	began := time.Now()
	c := w.send(ask{id: "r1", path: "/large/1", wait: 1500 * time.Millisecond}).head()
	g.Expect(c.Status).To(gomega.Equal(200))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second), "its beginning isn't held back")
	g.Expect(c.rest().Err).To(gomega.HaveOccurred())
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 1400*time.Millisecond))
	w.holds("r1", verdict{"deadline", "PY2722", "Its caller's deadline passed after"})
}
