package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/onsi/gomega"
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
	w.store.Put("servers", "i-raw", fmt.Appendf(nil,
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
