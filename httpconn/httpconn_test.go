package httpconn

import (
	"bufio"
	"context"
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

// rawServer accepts connections on loopback and runs conversation on each.
func rawServer(t *testing.T, conversation func(conn net.Conn, in *bufio.Reader)) (addr string, accepted *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted = &atomic.Int32{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				conversation(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), accepted
}

// readRequest reads a request with its body; false at the end of the connection.
func readRequest(in *bufio.Reader) bool {
	req, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func roundTrip(t *testing.T, p *Pool, addr string, body []byte) (string, error) {
	t.Helper()
	conn, err := p.Get(t.Context(), addr)
	if err != nil {
		return "", err
	}
	if err := conn.Send(t.Context(), &Request{Method: http.MethodPost, Target: "/x?y=1", Host: "h", Header: http.Header{"A": {"b"}}, Body: body}); err != nil {
		conn.Abort()
		return "", err
	}
	resp, err := conn.Receive(http.MethodPost)
	if err != nil {
		conn.Abort()
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Consecutive requests use the same connection.
func TestConnectionIsReused(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, accepted := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			_, _ = io.WriteString(conn, okResponse("ok"))
		}
	})
	p := NewPool(Options{})
	for range 5 {
		body, err := roundTrip(t, p, addr, []byte("b"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("ok"))
	}
	g.Expect(accepted.Load()).To(gomega.BeNumerically("==", 1))
}

// A faulty server sends more data after its complete response. It would be read as
// the response to the next request, which is another caller's.
func TestDataAfterResponseClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, accepted := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
		for readRequest(in) {
			_, _ = io.WriteString(conn, okResponse("ok"))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, okResponse("stray"))
		}
	})
	p := NewPool(Options{})
	for range 3 {
		body, err := roundTrip(t, p, addr, []byte("b"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("ok"))
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(accepted.Load()).To(gomega.BeNumerically("==", 3))
}

// A server closes an idle connection. The next request must not be sent on it:
// nobody could tell whether it ran.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, accepted := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			_, _ = io.WriteString(conn, okResponse("ok"))
			time.Sleep(10 * time.Millisecond)
		}
	})
	p := NewPool(Options{})
	for range 3 {
		_, err := roundTrip(t, p, addr, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		time.Sleep(50 * time.Millisecond)
	}
	g.Expect(accepted.Load()).To(gomega.BeNumerically("==", 3))
}

// A truncated response, with a length or chunked, must not look complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, cut := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			addr, _ := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
				if readRequest(in) {
					_, _ = io.WriteString(conn, cut)
				}
			})
			_, err := roundTrip(t, NewPool(Options{}), addr, nil)
			g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
		})
	}
}

// A server responds to a long request before it has read all of it. The rest of
// the request must not run into the next one, so the connection is closed.
func TestEarlyResponseClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, accepted := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, okResponse("no"))
			time.Sleep(200 * time.Millisecond)
		}
	})
	p := NewPool(Options{})
	body := []byte(strings.Repeat("x", 8<<20))
	for range 2 {
		got, err := roundTrip(t, p, addr, body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal("no"))
	}
	g.Expect(accepted.Load()).To(gomega.BeNumerically("==", 2))
}

// When the caller leaves, the connection is closed at once, so that the server
// stops its work.
func TestContextCancellationClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan time.Time, 1)
	addr, _ := rawServer(t, func(_ net.Conn, in *bufio.Reader) {
		if readRequest(in) {
			_, _ = in.ReadByte()
			closed <- time.Now()
		}
	})
	p := NewPool(Options{})
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := p.Get(ctx, addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.Send(ctx, &Request{Method: http.MethodGet, Target: "/", Host: "h"})).To(gomega.Succeed())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = conn.Receive(http.MethodGet)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Eventually(closed).Should(gomega.Receive())
}

// A server announces in Keep-Alive how long it keeps an idle connection; the pool gives
// its connections up before that.
func TestKeepAliveTimeoutIsParsed(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(parseKeepAlive(http.Header{"Keep-Alive": {"max=5, Timeout=3"}})).To(gomega.Equal(3 * time.Second))
	g.Expect(parseKeepAlive(http.Header{"Keep-Alive": {"timeout=x"}})).To(gomega.BeZero())
	g.Expect(parseKeepAlive(http.Header{})).To(gomega.BeZero())
	for _, seconds := range []string{"3000000000", "18446744074"} { // more than a Duration holds
		g.Expect(parseKeepAlive(http.Header{"Keep-Alive": {"timeout=" + seconds}})).To(gomega.Equal(maxKeepAliveSeconds * time.Second))
	}
}

// Waiting for data consumes none of it: what has arrived is still there for the
// read. The end of the connection ends the wait too.
func TestWaitReadableConsumesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	addr, _ := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
		_, _ = in.ReadByte()
		_, _ = io.WriteString(conn, "answer")
	})
	conn, err := net.Dial("tcp4", addr)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	g.Expect(HasUnreadData(conn)).To(gomega.BeFalse())
	_, _ = io.WriteString(conn, "x")
	g.Expect(WaitReadable(conn)).To(gomega.BeTrue())
	g.Expect(HasUnreadData(conn)).To(gomega.BeTrue())
	got, err := io.ReadAll(conn)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(got)).To(gomega.Equal("answer"))
	g.Expect(WaitReadable(conn)).To(gomega.BeTrue(), "the connection has ended")
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	g.Expect(WaitReadable(near)).To(gomega.BeFalse(), "a pipe can't be peeked at")
}

// Guards against a process that is filled by a server that sends bytes without end where the head of its response is due.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	line := strings.Repeat("x", 1000)
	for name, endless := range map[string]struct{ begin, again string }{
		"one line":                     {"HTTP/1.1 200 ", line},
		"one field":                    {"HTTP/1.1 200 OK\r\nA: ", line},
		"a continued field":            {"HTTP/1.1 200 OK\r\nA: b\r\n", " " + line + "\r\n"},
		"fields":                       {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n"},
		"informational responses":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"informational ones with much": {"", "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n"},
		"bytes that are no response":   {"", line},
		"empty lines":                  {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var sent atomic.Int64
			ended := make(chan struct{})
			addr, _ := rawServer(t, func(conn net.Conn, in *bufio.Reader) {
				defer close(ended)
				readRequest(in)
				n, err := io.WriteString(conn, endless.begin)
				for err == nil && sent.Add(int64(n)) < endlessBytes {
					n, err = io.WriteString(conn, endless.again)
				}
			})
			_, err := roundTrip(t, NewPool(Options{}), addr, nil)
			g.Expect(err).To(gomega.HaveOccurred())
			<-ended
			g.Expect(sent.Load()).To(gomega.BeNumerically("<", endlessBytes), "bytes taken from the server")
		})
	}
}

// endlessBytes stands for no end: more than the sockets' buffers and a head hold.
const endlessBytes = 64 << 20
