package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A caller speaks HTTP/1.0, in which an answer without a length ends with its
// connection. Its server crashes in the middle of a draft, or of a large answer:
// the connection was closed in order, and half an answer looked whole. A reset
// tells the two apart.
func TestCutAnswerToAnOldCallerDoesNotLookWhole(t *testing.T) {
	for _, path := range []string{"/stream/1", "/large/1"} {
		t.Run(path, func(t *testing.T) {
			g, w := gomega.NewWithT(t), serving(t, 1, nil)
			conn, err := net.Dial("tcp4", w.callers)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nAttempt-Id: r1\r\nAuthorization: Token k0\r\nContent-Length: 0\r\n\r\n", path, testHost)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer.StatusCode).To(gomega.Equal(200))
			w.servers[0].Crash()
			_, err = io.Copy(io.Discard, answer.Body)
			g.Expect(err).To(gomega.HaveOccurred(), "looks whole")
		})
	}
}

// The same caller's whole answer ends in order.
func TestWholeAnswerToAnOldCaller(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	w.servers[0].EventGap.Store(int64(fastGap))
	conn, err := net.Dial("tcp4", w.callers)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /stream/1 HTTP/1.0\r\nHost: %s\r\nAttempt-Id: r1\r\nAuthorization: Token k0\r\nContent-Length: 0\r\n\r\n", testHost)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(answer.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.ContainSubstring("id: 40\n"))
}
