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

// In HTTP/1.0 the end of the connection ends a response without a length. If the backend
// server crashes in the middle of a response and the connection is closed normally, half
// a response looks complete. A reset tells the two apart.
func TestTruncatedHTTP10ResponseIsReset(t *testing.T) {
	for _, path := range []string{"/stream/1", "/large/1"} {
		t.Run(path, func(t *testing.T) {
			g, env := gomega.NewWithT(t), startServing(t, 1, nil)
			conn, err := net.Dial("tcp4", env.callerAddr)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: %s\r\nAttempt-Id: r1\r\nAuthorization: Token k0\r\nContent-Length: 0\r\n\r\n", path, testHost)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer.StatusCode).To(gomega.Equal(200))
			env.servers[0].Crash()
			_, err = io.Copy(io.Discard, answer.Body)
			g.Expect(err).To(gomega.HaveOccurred(), "looks complete")
		})
	}
}

// A complete response to an HTTP/1.0 caller ends without an error.
func TestCompleteHTTP10Response(t *testing.T) {
	g, env := gomega.NewWithT(t), startServing(t, 1, nil)
	env.servers[0].EventGap.Store(int64(fastGap))
	conn, err := net.Dial("tcp4", env.callerAddr)
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
