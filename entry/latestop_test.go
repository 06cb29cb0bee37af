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

	"github.com/pearyard/pearyard/platform"
)

// stopOutcomes counts what callers got during a planned stop.
type stopOutcomes struct{ whole, refused, failed, cut int }

// Guards against requests that a stopping process passes on by how long others took, and cuts or fails at its end.
func TestStopPassesOnNothingThatOutlivesIt(t *testing.T) {
	const (
		grace     = 6 * time.Second
		slowAfter = 2 * time.Second // after the stop has begun
		quick     = 20 * time.Millisecond
		slow      = 3 * time.Second
		lastSend  = 5 * time.Second
		held      = 5100 * time.Millisecond // a request from before the stop, which keeps the process
		interval  = 50 * time.Millisecond
	)
	for name, write := range map[string]func(conn net.Conn, id string, takes time.Duration){
		"small answer": func(conn net.Conn, id string, takes time.Duration) {
			time.Sleep(takes)
			_, _ = io.WriteString(conn, signedHead(id, "Content-Length: 2\r\n")+"ok")
		},
		"large answer": func(conn net.Conn, id string, takes time.Duration) {
			const parts, size = 8, 1 << 20
			_, _ = io.WriteString(conn, signedHead(id, fmt.Sprintf("Content-Length: %d\r\n", parts*size)))
			for range parts {
				time.Sleep(takes / parts)
				_, _ = io.WriteString(conn, strings.Repeat("x", size))
			}
		},
		"stream": func(conn net.Conn, id string, takes time.Duration) {
			_, _ = io.WriteString(conn, signedHead(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			writeEvent(conn, 1)
			time.Sleep(takes)
			writeEvent(conn, 2)
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		},
	} {
		paths := []string{"/once/1", "/large/1"}
		if name == "stream" {
			paths = []string{"/stream/1"}
		}
		for _, path := range paths {
			t.Run(name+path, func(t *testing.T) {
				g := gomega.NewWithT(t)
				var slowFrom atomic.Int64
				slowFrom.Store(1 << 62)
				heldRuns := make(chan struct{})
				env := newTestEnv(t, 0, func(s *platform.Settings) { s.Grace = grace })
				env.addRawServer(func(conn net.Conn, r *http.Request) {
					takes := quick
					if strings.HasSuffix(r.URL.Path, "/held") {
						takes = held
						close(heldRuns)
					} else if time.Now().UnixNano() > slowFrom.Load() {
						takes = slow
					}
					write(conn, r.Header.Get("Attempt-Id"), takes)
				})
				env.configure(1, `"k0"`, testRoutes...)
				g.Eventually(env.isReady, "10s", "10ms").Should(gomega.BeTrue())
				var earlier []*testCaller
				for i := range 10 {
					earlier = append(earlier, env.send(testRequest{id: fmt.Sprint("before", i), path: path}).readRest())
				}
				env.send(testRequest{id: "held", path: "/once/held"})
				<-heldRuns
				began := time.Now()
				slowFrom.Store(began.Add(slowAfter).UnixNano())
				env.stop()
				var callers []*testCaller
				for i := 0; time.Since(began) < lastSend; i++ {
					callers = append(callers, env.send(testRequest{id: fmt.Sprint("r", i), path: path, timeout: 8 * time.Second}))
					time.Sleep(interval)
				}
				got := stopOutcomes{}
				for _, c := range callers {
					got.add(c.readRest())
				}
				t.Logf("%+v", got)
				g.Expect(earlier[9].Status).To(gomega.Equal(http.StatusOK))
				g.Expect(got.cut).To(gomega.BeZero(), "cut: %+v", got)
				g.Expect(got.failed).To(gomega.BeZero(), "failed after they may have run: %+v", got)
				g.Expect(got.refused).To(gomega.BeNumerically(">", 0))
			})
		}
	}
}

func (o *stopOutcomes) add(c *testCaller) {
	switch {
	case c.Err != nil:
		o.cut++
	case c.Status == http.StatusOK:
		o.whole++
	case c.Status == http.StatusServiceUnavailable:
		o.refused++
	default:
		o.failed++
	}
}

func signedHead(id, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\n%s\r\n", id, more)
}

func writeEvent(conn net.Conn, n int) {
	event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
}
