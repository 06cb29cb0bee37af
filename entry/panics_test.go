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

// faultyBackend panics at the given place.
type faultyBackend struct {
	modelServer
	at string
}

// faultyBody panics at the end of its reader.
type faultyBody struct{ io.Reader }

func (b faultyBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		panicOnNilMap()
	}
	return n, err
}

func (faultyBody) Close() error { return nil }

// panicOnNilMap panics with a runtime error.
func panicOnNilMap() { nilMap["x"]++ }

var nilMap map[string]int

// Open implements exchange.Backend.
func (b faultyBackend) Open(context.Context, *exchange.Attempt) (*exchange.Answer, error) {
	if b.at == "open" {
		panicOnNilMap()
	}
	header := http.Header{"Response-Signature": {"x"}, "Content-Type": {"text/event-stream"}}
	return &exchange.Answer{Status: http.StatusOK, Header: header, Body: faultyBody{strings.NewReader("id: 1\ndata: x\n\n")}}, nil
}

// faultyHandler returns a handler that panics at the given place, and its recorder.
func faultyHandler(at string) (*handler, *event.Recorder) {
	return faultyHandlerWith(func(*event.Recorder) exchange.Backend { return faultyBackend{at: at} }, at)
}

// faultyHandlerWith returns such a handler with another backend.
func faultyHandlerWith(backend func(*event.Recorder) exchange.Backend, at string) (*handler, *event.Recorder) {
	e := modelEntry(newShutdownState(), modelServer{reached: &sync.Map{}})
	e.exchange = exchange.New(exchange.Options{
		Directory: e.directory, Backend: backend(e.recorder), Services: e.findService, Recorder: e.recorder,
		Suspects: suspect.New(suspect.Options{Self: "m", Recorder: e.recorder}), Metrics: prometheus.NewRegistry(),
		RetryWindow: time.Second, RetryExtra: func() float64 { return 10 },
	})
	listed := e.anyServerListed
	if at == "listed" {
		listed = func() bool { panicOnNilMap(); return true }
	}
	return &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: e.shutdown, hasServers: listed}, e.recorder
}

// A handler panics. With net/http's recovery the caller sees a closed connection, and
// the stack on standard error names no request. A caller that has received no part of a
// response gets one that says that the request may have run; a response that has begun
// is aborted. Both are logged.
func TestHandlerPanicIsAnsweredAndLogged(t *testing.T) {
	for at, status := range map[string]int{"listed": http.StatusBadGateway, "open": http.StatusBadGateway, "read": http.StatusOK} {
		t.Run(at, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h, recorder := faultyHandler(at)
			server := httptest.NewServer(h)
			defer server.Close()
			answer, body, err := post(server, "/stream/1s", "a1")
			g.Expect(answer).NotTo(gomega.BeNil(), "%v", err)
			g.Expect(answer.StatusCode).To(gomega.Equal(status))
			if status == http.StatusOK {
				g.Expect(err).To(gomega.HaveOccurred(), "aborted, got %q", body)
			} else {
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(answer.Header.Get("Attempt-Id")).To(gomega.Equal("a1"))
				g.Expect(answer.Header).NotTo(gomega.HaveKey("Response-Signature"), "this response is not from a server")
			}
			lines := recorder.Entries("a1")
			g.Expect(lines).NotTo(gomega.BeEmpty())
			g.Expect(lines[len(lines)-1].Fields).To(gomega.HaveKeyWithValue("panic", "assignment to entry in nil map"))
		})
	}
}

// post sends a request on a connection of its own. The response is nil if its head
// didn't arrive.
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

// A handler that aborts a response with http.ErrAbortHandler does so without an event.
func TestAbortedHandlerEmitsNoEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	h, recorder := faultyHandler("none")
	h.hasServers = func() bool { panic(http.ErrAbortHandler) }
	server := httptest.NewServer(h)
	defer server.Close()
	answer, _, err := post(server, "/stream/1s", "a1")
	g.Expect(answer).To(gomega.BeNil())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(recorder.Entries("a1")).To(gomega.BeEmpty())
}

// A panic on a goroutine that talks to a backend server would end the process with all
// its streams. It costs one attempt instead, and is logged.
func TestBackendPanicCostsOneAttempt(t *testing.T) {
	for _, at := range []string{"open", "read"} {
		t.Run(at, func(t *testing.T) {
			g := gomega.NewWithT(t)
			h, recorder := faultyHandlerWith(func(r *event.Recorder) exchange.Backend {
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
