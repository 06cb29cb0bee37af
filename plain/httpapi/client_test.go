package httpapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/plain"
	"github.com/pearyard/pearyard/plain/httpapi"
	"github.com/pearyard/pearyard/standin"
)

func start(t *testing.T) (*standin.Plain, *httpapi.Client, *httptest.Server) {
	p := standin.NewPlain(standin.PlainOptions{})
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, httpapi.New(httpapi.Options{Address: server.Listener.Addr().String()}), server
}

func labelCall(key string) plain.Call {
	return plain.Call{
		Method: http.MethodPost,
		Path:   "/labels?depot=errol",
		Header: http.Header{standin.HeaderIdempotencyKey: {key}},
		Body:   []byte("12 pallets"),
	}
}

func ptr[T any](v T) *T { return &v }

func TestAnswerMirrorsCall(t *testing.T) {
	g := NewWithT(t)
	p, c, _ := start(t)
	answer, err := c.Do(t.Context(), labelCall("k1"))
	g.Expect(err).NotTo(HaveOccurred())
	var body standin.PlainAnswer
	g.Expect(json.Unmarshal(answer.Body, &body)).To(Succeed())
	g.Expect(body).To(Equal(standin.PlainAnswer{Run: 1, Key: "k1", Method: "POST", Path: "/labels?depot=errol", Body: []byte("12 pallets")}))
	g.Expect(p.Counts()).To(Equal(standin.PlainCounts{Total: 1, ByKey: map[string]int{"k1": 1}}))
}

func TestResponseLostAndNotSent(t *testing.T) {
	// A service prints a label and the response is lost. The call must not be
	// reported as not sent; only a failure to connect permits that.
	g := NewWithT(t)
	p, c, server := start(t)
	p.Apply(standin.PlainFaults{LoseAnswers: ptr(1)})
	_, err := c.Do(t.Context(), labelCall("k1"))
	g.Expect(err).To(MatchError(plain.ErrResponseLost))
	g.Expect(p.Counts().ByKey).To(HaveKeyWithValue("k1", 1))

	// The timeout of 1 s is long enough to connect and send the call on a busy machine,
	// and shorter than the latency.
	p.Apply(standin.PlainFaults{LatencyMS: ptr(2000)})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = c.Do(ctx, labelCall("k2"))
	g.Expect(err).To(MatchError(plain.ErrResponseLost))
	g.Eventually(func() int { return p.Counts().ByKey["k2"] }, "10s").Should(Equal(1))

	server.Close()
	_, err = c.Do(t.Context(), labelCall("k3"))
	g.Expect(err).To(MatchError(plain.ErrNotSent))
	g.Expect(c.Healthy(t.Context())).To(MatchError(plain.ErrNotSent))
}

// serveFirstCallOnly starts a server that responds to the first call on each connection.
// It reads a second call and closes the connection without a response, as a crashing
// server does. ran counts the calls; the server's address is returned.
func serveFirstCallOnly(t *testing.T, ran *atomic.Int32) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				buffer := make([]byte, 4096)
				if _, err := conn.Read(buffer); err != nil {
					return
				}
				ran.Add(1)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				if _, err := conn.Read(buffer); err == nil {
					ran.Add(1)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestNeverSendsTwice(t *testing.T) {
	// Guards against a retry by net/http: a call with an Idempotency-Key is sent on
	// a reused connection, and the service runs it and crashes. net/http takes the
	// key as permission to retry on a new connection, and the call runs twice.
	g := NewWithT(t)
	var ran atomic.Int32
	address := serveFirstCallOnly(t, &ran)
	c := httpapi.New(httpapi.Options{Address: address})
	for sent := range 6 {
		_, _ = c.Do(t.Context(), labelCall("k"))
		g.Expect(ran.Load()).To(BeNumerically("<=", sent+1))
	}
	g.Expect(ran.Load()).To(BeEquivalentTo(6))
}

func TestFollowsNoRedirect(t *testing.T) {
	// A service that runs a call and answers 307 must not get the call again.
	g := NewWithT(t)
	var ran atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	t.Cleanup(server.Close)
	c := httpapi.New(httpapi.Options{Address: server.Listener.Addr().String()})
	answer, err := c.Do(t.Context(), labelCall("k"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Status).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(ran.Load()).To(BeEquivalentTo(1))
}

func TestFrozenServiceRunsLate(t *testing.T) {
	// A call waits in the socket buffer of a paused service. The caller gives up;
	// the service resumes and still runs the call.
	g := NewWithT(t)
	p, c, _ := start(t)
	p.Apply(standin.PlainFaults{Freeze: ptr(true)})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, labelCall("k"))
	g.Expect(err).To(MatchError(plain.ErrResponseLost))
	g.Expect(p.Counts().Total).To(BeZero())
	p.Apply(standin.PlainFaults{Freeze: ptr(false)})
	g.Eventually(func() int { return p.Counts().Total }).Should(Equal(1))
}

// A faulty service answers with a status that isn't a final HTTP status. The router
// can't forward such a status: it panicked, the caller's connection was closed without
// a response, and the request was logged as "delivered". The call may have run, so the
// result must be ErrResponseLost.
func TestStatusThatIsNoFinalOneIsALostAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nab")
			}()
			_, err = httpapi.New(httpapi.Options{Address: listener.Addr().String()}).Do(t.Context(), labelCall("k1"))
			g.Expect(err).To(MatchError(plain.ErrResponseLost))
		})
	}
}
