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

// askLate sends a call that allows itself some time and whose body takes longer,
// and returns the answer and whether it reached a backend server.
func askLate(t *testing.T, wait, body time.Duration, stops bool) (status int, after string, reached bool) {
	backend := modelServer{&sync.Map{}}
	stop := newStopping()
	e := modelEntry(stop, backend)
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: &handler{holder: e.holder, exchange: e.exchange, recorder: e.recorder, stop: stop, listed: e.listed}}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	if stops {
		stop.begin(time.Now().Add(modelGrace))
	}
	conn := l.dial()
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /call/60ms HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\n", wait.Milliseconds())
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

// A caller's link is so slow that its request is complete only when its time is
// over. It was sent to a backend server all the same, with a millisecond to go,
// and its caller was told that it may have run: a call that must not run twice
// was lost for good. It is refused as not run, which it is.
func TestRequestThatIsCompleteTooLateHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		status, after, reached := askLate(t, time.Second, 1100*time.Millisecond, false)
		g.Expect(reached).To(gomega.BeFalse())
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		wait, err := strconv.ParseFloat(after, 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(wait).To(gomega.BeNumerically(">=", 0))
	})
}

// The same in a planned stop, and on a route whose own time is over.
func TestRequestThatIsCompleteTooLateInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		status, after, reached := askLate(t, time.Second, 7600*time.Millisecond, true)
		g.Expect(reached).To(gomega.BeFalse())
		g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(after).NotTo(gomega.HavePrefix("-"), "no time is below zero")
	})
}

// A stream is refused by a process that stops with all others, after its own
// time is over: what it was told to wait was a time below zero.
func TestNobodyIsToldToComeBackInThePast(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	h := &handler{stop: newStopping(), allStop: func() bool { return true }}
	h.stop.begin(now.Add(time.Second))
	call := &platform.Call{Request: exchange.Request{Route: &site.Route{Kind: site.Stream}, Deadline: now.Add(-time.Second)}}
	g.Expect(h.afterStop(call, now)).To(gomega.BeNumerically(">=", 0))
}
