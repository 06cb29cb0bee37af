package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/suspect"
)

// faultyBackend panics where it is told to.
type faultyBackend struct {
	modelServer
	at string
}

// faultyBody panics after its first event.
type faultyBody struct{ io.Reader }

func (b faultyBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		panicOnNil()
	}
	return n, err
}

func (faultyBody) Close() error { return nil }

// panicOnNil makes a fault of the kind that programs have.
func panicOnNil() { noMap["x"]++ }

var noMap map[string]int

// Open implements exchange.Backend.
func (b faultyBackend) Open(context.Context, *exchange.Attempt) (*exchange.Answer, error) {
	if b.at == "open" {
		panicOnNil()
	}
	header := http.Header{"Response-Signature": {"x"}, "Content-Type": {"text/event-stream"}}
	return &exchange.Answer{Status: http.StatusOK, Header: header, Body: faultyBody{strings.NewReader("id: 1\ndata: x\n\n")}}, nil
}

// faulty returns a handler with a fault in it, and its recorder.
func faulty(at string) (*handler, *event.Recorder) {
	return faultyWith(func(*event.Recorder) exchange.Backend { return faultyBackend{at: at} }, at)
}

// faultyWith returns such a handler over a backend.
func faultyWith(backend func(*event.Recorder) exchange.Backend, at string) (*handler, *event.Recorder) {
	e := modelEntry(newStopping(), modelServer{reached: &sync.Map{}})
	e.exchange = exchange.New(exchange.Options{
		Directory: e.directory, Backend: backend(e.recorder), Services: e.service, Recorder: e.recorder,
		Suspects: suspect.New(suspect.Options{Self: "m", Recorder: e.recorder}), Metrics: prometheus.NewRegistry(),
		RetryWindow: time.Second, RetryExtra: func() float64 { return 10 },
	})
	listed := e.listed
	if at == "listed" {
		listed = func() bool { panicOnNil(); return true }
	}
	return &handler{holder: e.holder, exchange: e.exchange, recorder: e.recorder, stop: e.stop, listed: listed}, e.recorder
}

// The program has a fault on a request's path: it writes to a nil map. The
// request's caller saw a closed connection, and the only trace was a stack on
// standard error that named no request. Whoever hasn't got any of an answer gets
// one that says that the request may have run; a begun answer is cut; both have a
// line.
func TestPanicOnARequestsPathIsAnsweredAndLogged(t *testing.T) {
	for at, status := range map[string]int{"listed": http.StatusBadGateway, "open": http.StatusBadGateway, "read": http.StatusOK} {
		t.Run(at, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h, recorder := faulty(at)
			server := httptest.NewServer(h)
			defer server.Close()
			answer, body, err := post(server, "/stream/1s", "a1")
			g.Expect(answer).NotTo(gomega.BeNil(), "%v", err)
			g.Expect(answer.StatusCode).To(gomega.Equal(status))
			if status == http.StatusOK {
				g.Expect(err).To(gomega.HaveOccurred(), "cut, got %q", body)
			} else {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(answer.Header.Get("Attempt-Id")).To(gomega.Equal("a1"))
				g.Expect(answer.Header).NotTo(gomega.HaveKey("Response-Signature"), "no server gave this answer")
			}
			lines := recorder.Entries("a1")
			g.Expect(lines).NotTo(gomega.BeEmpty())
			g.Expect(lines[len(lines)-1].Fields).To(gomega.HaveKeyWithValue("panic", "assignment to entry in nil map"))
		})
	}
}

// post sends a request on a connection of its own; the answer is nil if its
// head didn't come.
func post(server *httptest.Server, path, id string) (answer *http.Response, body string, err error) {
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	if err != nil {
		return nil, "", err
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", path, id)
	if err != nil {
		return nil, "", err
	}
	answer, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, "", err
	}
	raw, err := io.ReadAll(answer.Body)
	return answer, string(raw), err
}

// A handler that means to cut an answer does so: that is no fault of the program.
func TestCutAnswersAreNoPanics(t *testing.T) {
	g := gomega.NewWithT(t)
	h, recorder := faulty("none")
	h.listed = func() bool { panic(http.ErrAbortHandler) }
	server := httptest.NewServer(h)
	defer server.Close()
	answer, _, err := post(server, "/stream/1s", "a1")
	g.Expect(answer).To(gomega.BeNil())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(recorder.Entries("a1")).To(gomega.BeEmpty())
}

// The same fault where plain calls meet their servers, which is beside the
// request's own path: it ended the whole process, with every stream that ran
// through it. It costs one attempt, and says so.
func TestPanicBesideARequestsPathCostsOneAttempt(t *testing.T) {
	for _, at := range []string{"open", "read"} {
		t.Run(at, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h, recorder := faultyWith(func(r *event.Recorder) exchange.Backend {
				return &guardedBackend{faultyBackend{at: at}, r}
			}, at)
			server := httptest.NewServer(h)
			defer server.Close()
			answer, _, err := post(server, "/call/60ms", "a1")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusBadGateway))
			panics := 0
			for _, l := range recorder.Entries("a1") {
				if l.Fields["panic"] == "assignment to entry in nil map" {
					panics++
				}
			}
			g.Expect(panics).To(gomega.Equal(1))
		})
	}
}
