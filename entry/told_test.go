package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// rawAnswer writes a whole answer of a backend server.
func rawAnswer(conn net.Conn, r *http.Request, status int, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Said\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Attempt-Id"), len(body), body)
}

// A backend server answers a stream's request with a status of its own and an
// explanation of 300 KB. Its caller got the first 256 KB, ended in order: an
// answer that looks whole and isn't.
func TestLongErrorOfAStreamComesWhole(t *testing.T) {
	const length = 300 << 10
	g := gomega.NewWithT(t)
	w := rawServing(t, func(conn net.Conn, r *http.Request) { rawAnswer(conn, r, 422, strings.Repeat("x", length)) })
	c := w.send(ask{id: "r1", path: "/stream/1"}).rest()
	g.Expect(c.Status).To(gomega.Equal(422))
	if c.Err == nil {
		g.Expect(c.Bytes).To(gomega.BeEquivalentTo(length), "looks whole")
	}
}

// A call may be repeated. Its first server answers with a failure of its own,
// the second one is silent until the caller's time is over. The caller was told
// 504, by which it learns nothing, in place of the answer that had been there all
// the while.
func TestReadyFailureIsDeliveredWhenTheTimeIsOver(t *testing.T) {
	g := gomega.NewWithT(t)
	var asked atomic.Int32
	w := newWorld(t, 0, nil)
	play := func(conn net.Conn, r *http.Request) {
		if r.Header.Get("Attempt-Id") == "r1" && asked.Add(1) == 1 {
			rawAnswer(conn, r, 500, "reason")
		}
	}
	w.addRaw(play)
	w.addRaw(play)
	w.configure(1, `"k0"`, append(testRoutes, testRoute("/twice/", "idempotent", `"maxAttempts":2,"timeoutMs":8000`))...)
	g.Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
	c := w.send(ask{id: "r1", path: "/twice/1", wait: time.Second}).head()
	g.Expect(asked.Load()).To(gomega.BeEquivalentTo(2))
	g.Expect(c.Status).To(gomega.Equal(500))
}

// No server takes a stream, and its caller's time is over while it waits for one
// to turn up. Nothing was sent to any server, but its caller was told that it may
// have run: of streams that must not be repeated that is the end.
func TestStreamThatWasSentNowhereHasNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld(t, 0, nil)
	w.addServer("other")
	w.configure(1, `"k0"`, append(testRoutes, strings.ReplaceAll(testRoute("/other/", "idempotent", `"maxAttempts":1`), `"service":"s"`, `"service":"other"`))...)
	g.Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
	c := w.send(ask{id: "r1", path: "/stream/1", wait: 200 * time.Millisecond}).head()
	w.sawServers("r1")
	g.Expect(c.Status).To(gomega.Equal(503))
}
