package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// bodySizes are on both sides of what net/http reads of a body that the handler
// has left, 256 KB, up to a few times what configurations allow.
var bodySizes = []int{2_000, 200 << 10, 300 << 10, 1 << 20, 4 << 20, 12 << 20}

// writeAllThenRead sends a request as many clients do: to its end before they
// look at what comes. The socket holds little that the other end has not read.
func (w *world) writeAllThenRead(head string, body []byte) (*http.Response, error) {
	w.t.Helper()
	conn, err := net.Dial("tcp4", w.callers)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		// Clients of this kind don't read any more.
		return nil, errors.Wrap(err, "write")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, errors.Wrap(err, "read")
}

// chunkedBody is a body in chunks of 32 KB.
func chunkedBody(size int) []byte {
	const chunk = 32 << 10
	var b bytes.Buffer
	for left := size; left > 0; left -= chunk {
		n := min(left, chunk)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("b", n))
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// A caller sends a request that is refused for its head or its size, and writes
// all of its body before it reads. The process answered at once, left the rest of
// the body unread and closed: the close became a reset, which took the refusal
// out of the caller's socket. The caller saw "connection reset by peer": neither
// an answer nor a refusal.
func TestRefusalOfABodyThatNobodyReadsReachesItsCaller(t *testing.T) {
	w := serving(t, 1, nil)
	for name, c := range map[string]struct {
		head   string
		status int
	}{
		"too large": {"Attempt-Id: r1\r\n", 413},
		"no id":     {"", 400},
		"odd time":  {"Attempt-Id: r1\r\nDeadline-Ms: soon\r\n", 400},
	} {
		for _, size := range bodySizes {
			for _, framing := range []string{"length", "chunked"} {
				t.Run(fmt.Sprint(name, " ", size, " ", framing), func(t *testing.T) {
					g := gomega.NewWithT(t)
					length, body := fmt.Sprint("Content-Length: ", size), bytes.Repeat([]byte("b"), size)
					if framing == "chunked" {
						length, body = "Transfer-Encoding: chunked", chunkedBody(size)
					}
					head := "POST /once/1 HTTP/1.1\r\nHost: " + testHost + "\r\nAuthorization: Token k0\r\n" + c.head + length + "\r\n\r\n"
					resp, err := w.writeAllThenRead(head, body)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
				})
			}
		}
	}
}

// A process has just started and knows no configuration, hence no limit. A head
// announces a body of many gigabytes: memory was set aside for all of it, which
// ended the request in a panic or the process for want of memory. Without a
// configuration every request is refused as not run, so the body isn't kept.
func TestAnnouncedSizeTakesNoMemoryWithoutConfiguration(t *testing.T) {
	w := newWorld(t, 1, nil)
	gomega.NewWithT(t).Eventually(w.listens).Should(gomega.BeTrue())
	for _, length := range []string{"Content-Length: 9000000000000000000", "Transfer-Encoding: chunked"} {
		t.Run(length, func(t *testing.T) {
			g := gomega.NewWithT(t)
			conn, err := net.Dial("tcp4", w.callers)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: r1\r\nAuthorization: Token k0\r\n%s\r\n\r\n", testHost, length)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(503))
			g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
		})
	}
}
