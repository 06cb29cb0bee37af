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

// rawServing starts a world whose one backend server plays conversation with
// each request, its head and body read.
func rawServing(t *testing.T, conversation func(conn net.Conn, r *http.Request)) *world {
	t.Helper()
	w := newWorld(t, 0, nil)
	w.addRaw(conversation)
	w.configure(1, `"k0"`, testRoutes...)
	gomega.NewWithT(t).Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
	return w
}

// addRaw lists a backend server that answers by hand.
func (w *world) addRaw(conversation func(conn net.Conn, r *http.Request)) {
	w.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go playRaw(conn, conversation)
		}
	}()
	w.store.Put("servers", "i-raw-"+strings.ReplaceAll(listener.Addr().String(), ":", "-"), fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":1,"born":1}`, listener.Addr()))
}

func playRaw(conn net.Conn, conversation func(conn net.Conn, r *http.Request)) {
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
		conversation(conn, r)
	}
}

// A faulty backend server answers with a status that HTTP doesn't have, signed
// like any other. The program that hands it on can't write such a status and
// gave up in the middle: the caller's connection was closed without a word, for
// streams and plain calls alike, and no line said why.
func TestStatusThatHTTPDoesNotHaveIsAFailure(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		for _, path := range []string{"/once/1", "/large/1", "/stream/1"} {
			t.Run(status+path, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := rawServing(t, func(conn net.Conn, r *http.Request) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nAttempt-Id: %s\r\nResponse-Signature: x\r\nContent-Length: 2\r\n\r\nab", status, r.Header.Get("Attempt-Id"))
				})
				c := w.send(ask{id: "r1", path: path}).head()
				g.Expect(c.Err).NotTo(gomega.HaveOccurred(), "a closed connection is no answer")
				g.Expect(c.Status).To(gomega.Equal(502))
				g.Expect(c.Header).NotTo(gomega.HaveKey("Response-Signature"), "no server gave this answer")
				w.holds("r1", verdict{"server", "PY2722", "Its backend server "})
			})
		}
	}
}

// A caller's link takes longer for a request than the caller waits. What the
// process says of it: refused, has not run, and why.
func TestEndedByItsLateBody(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	conn, err := net.Dial("tcp4", w.callers)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: r1\r\nDeadline-Ms: 200\r\nAuthorization: Token k0\r\nContent-Length: 2\r\n\r\na", testHost)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	time.Sleep(300 * time.Millisecond)
	_, err = conn.Write([]byte("b"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.StatusCode).To(gomega.Equal(503))
	w.sawServers("r1")
	w.holds("r1", verdict{"deadline", "PY2761", "It was refused and has not run: its last byte came after"})
}

// A planned stop's grace period ends while calls run that must not run twice.
// Their callers saw a closed connection, as if the process had been killed:
// nothing of an answer was on its way, so they are told that the call may have
// run. Streams that have not begun are told so too.
func TestStopAnswersWhatItCutsBeforeItsHead(t *testing.T) {
	for _, path := range []string{"/once/1", "/large/1", "/stream/1"} {
		t.Run(path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			w := newWorld(t, 0, func(s *platform.Settings) { s.Grace = 500 * time.Millisecond })
			reached := make(chan struct{}, 1)
			w.addRaw(func(_ net.Conn, r *http.Request) {
				if r.Header.Get("Attempt-Id") == "r1" {
					reached <- struct{}{} // and never answers
				}
			})
			w.configure(1, `"k0"`, testRoutes...)
			g.Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
			c := w.send(ask{id: "r1", path: path})
			g.Eventually(reached, "5s").Should(gomega.Receive())
			w.stop()
			g.Expect(c.head().Err).NotTo(gomega.HaveOccurred(), "a closed connection is no answer")
			g.Expect(c.Status).To(gomega.Equal(502))
			g.Expect(c.rest().Err).NotTo(gomega.HaveOccurred())
			w.holds("r1", verdict{"stop", "PY2734", "The planned stop of edge-1 cut it after"})
		})
	}
}
