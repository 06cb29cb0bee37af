package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
)

// sendSlowBody sends a call with a timeout whose body takes the time body to arrive. If
// stops is set, a planned stop begins before that. It returns the status, the Retry-After
// and whether the call reached a backend server.
func sendSlowBody(t *testing.T, timeout, body time.Duration, stops bool) (status int, retryAfter string, reached bool) {
	backend := modelServer{&sync.Map{}}
	stop := newShutdownState()
	e := modelEntry(stop, backend)
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: stop, hasServers: e.anyServerListed}}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	if stops {
		stop.begin(time.Now().Add(modelGrace))
	}
	conn := l.dial()
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /call/60ms HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\n", timeout.Milliseconds())
	time.Sleep(body)
	_, _ = conn.Write([]byte("b"))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	_, reached = backend.reached.Load("r1")
	return answer.StatusCode, answer.Header.Get("Retry-After"), reached
}

// A request is complete only after its deadline. If it were sent to a backend server
// all the same, its caller would be told that it may have run, and a call that must not
// run twice would be lost. It is refused as not run.
func TestRequestCompleteAfterDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		status, retryAfter, reached := sendSlowBody(t, time.Second, 1100*time.Millisecond, false)
		g.Expect(reached).To(gomega.BeFalse())
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		wait, err := strconv.ParseFloat(retryAfter, 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wait).To(gomega.BeNumerically(">=", 0))
	})
}

// The same late in a planned stop: the body is complete only shortly before the process
// ends, long after the deadline.
func TestRequestCompleteAfterDeadlineIsRefusedDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		status, retryAfter, reached := sendSlowBody(t, time.Second, 7600*time.Millisecond, true)
		g.Expect(reached).To(gomega.BeFalse())
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(retryAfter).NotTo(gomega.HavePrefix("-"), "Retry-After is not negative")
	})
}

// A stream whose deadline has passed is refused while all processes are stopping. Its
// Retry-After must not be negative.
func TestRetryAfterIsNotNegative(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	h := &handler{shutdown: newShutdownState(), allPeersStopping: func() bool { return true }}
	h.shutdown.begin(now.Add(time.Second))
	call := &platform.Call{Request: exchange.Request{Route: &site.Route{Kind: site.Stream}, Deadline: now.Add(-time.Second)}}
	g.Expect(h.retryAfterStop(call, now)).To(gomega.BeNumerically(">=", 0))
}
