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

// bodySizes are on both sides of the 256 KB that net/http reads of a body that the
// handler has not read, up to a few times what configurations allow.
var bodySizes = []int{2_000, 200 << 10, 300 << 10, 1 << 20, 4 << 20, 12 << 20}

// writeAllThenRead sends a complete request before it reads the response, as many
// clients do. The socket buffers little that the other end has not read.
func (env *testEnv) writeAllThenRead(head string, body []byte) (*http.Response, error) {
	env.t.Helper()
	conn, err := net.Dial("tcp4", env.callerAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		// Such clients don't read a response after a write error.
		return nil, errors.Wrap(err, "write")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, errors.Wrap(err, "read")
}

// chunkedBody returns a body encoded in chunks of 32 KB.
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

// A request is refused for its head or its size while its caller still writes the
// body. If the process responds and closes with the rest of the body unread, the
// close becomes a reset, which discards the response in the caller's socket: the
// caller sees "connection reset by peer" instead of the refusal.
func TestRefusalReachesCallerThatStillWritesItsBody(t *testing.T) {
	env := startServing(t, 1, nil)
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
					resp, err := env.writeAllThenRead(head, body)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(resp.StatusCode).To(gomega.Equal(c.status))
				})
			}
		}
	}
}

// Without a configuration there is no body limit yet. A request that announces a body
// of many gigabytes must not make the process allocate memory for it, which ended the
// request in a panic or the process out of memory. Every request is refused as not run
// then, so the body isn't kept.
func TestAnnouncedSizeAllocatesNothingWithoutConfiguration(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	gomega.NewWithT(t).Eventually(env.listens).Should(gomega.BeTrue())
	for _, length := range []string{"Content-Length: 9000000000000000000", "Transfer-Encoding: chunked"} {
		t.Run(length, func(t *testing.T) {
			g := gomega.NewWithT(t)
			conn, err := net.Dial("tcp4", env.callerAddr)
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
