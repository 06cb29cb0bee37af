package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/run"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/fleet"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/promptcache"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
)

const (
	modelGrace = 8 * time.Second
	// modelSignal is when the planned stop begins.
	modelSignal = 3500 * time.Millisecond
	modelEvent  = 100 * time.Millisecond
	modelCall   = 60 * time.Millisecond
)

// modelSendTimes are the times of requests, relative to the signal. They are around the
// moments at which a stopping process changes what it accepts.
var modelSendTimes = []time.Duration{
	-3 * time.Second, -time.Millisecond, 0, time.Millisecond, 650 * time.Millisecond, 800 * time.Millisecond, 2500 * time.Millisecond,
	2501 * time.Millisecond, 4 * time.Second, 5500 * time.Millisecond, 6850 * time.Millisecond, 7350 * time.Millisecond,
	modelGrace - graceMargin - time.Millisecond, modelGrace - graceMargin,
}

// modelRequest is a caller's request; docs/design/machines.md describes the states.
type modelRequest struct {
	path   string
	at     time.Duration // after the signal
	reused bool          // sent on a connection that has carried a request before
}

func (r modelRequest) String() string {
	return fmt.Sprintf("%s at %v reused %v", r.path, r.at, r.reused)
}

// modelServer is a backend server whose responses take the time at the end of the path.
type modelServer struct {
	reached *sync.Map // ids of the requests that were sent to it
}

func pathDuration(path string) time.Duration {
	d, err := time.ParseDuration(path[strings.LastIndexByte(path, '/')+1:])
	if err != nil {
		panic(err)
	}
	return d
}

// Open implements exchange.Backend.
func (s modelServer) Open(ctx context.Context, a *exchange.Attempt) (*exchange.Answer, error) {
	s.reached.Store(a.Request.ID, true)
	length := pathDuration(a.Request.Target)
	if a.Request.Route.Kind != site.Stream {
		select {
		case <-time.After(length):
			return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("end"))}, nil
		case <-ctx.Done():
			return nil, &exchange.BrokenError{Err: ctx.Err()}
		}
	}
	r, w := io.Pipe()
	go func() {
		last := int(length / modelEvent)
		for i := 1; i <= last; i++ {
			select {
			case <-time.After(modelEvent):
			case <-ctx.Done():
				w.CloseWithError(ctx.Err())
				return
			}
			data := "x"
			if i == last {
				data = "end"
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		}
		_ = w.Close()
	}()
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

func (modelServer) Probe(context.Context, *directory.Server) (int64, error) {
	return 0, nil
}
func (modelServer) CachedPrompts(context.Context, *directory.Server) (promptcache.Contents, error) {
	return nil, nil
}
func (modelServer) Free(context.Context, *exchange.KVCopy) error { return nil }
func (modelServer) Copy(context.Context, *exchange.Request, *directory.Server, *directory.Server) (*exchange.KVCopy, error) {
	return nil, io.ErrClosedPipe
}

// pipeListener accepts in-memory pipes, so that connections work in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns nil once the listener is closed.
func (l *pipeListener) dial() net.Conn {
	caller, server := net.Pipe()
	select {
	case l.conns <- server:
		return caller
	case <-l.done:
		return nil
	}
}

// modelEntry is an Entry with only the parts that serving callers needs.
func modelEntry(stop *shutdownState, server modelServer) *Entry {
	e := &Entry{
		settings: platform.Settings{Grace: modelGrace}, recorder: event.Discard(), registry: prometheus.NewRegistry(),
		configHolder: site.NewHolder(), directory: directory.New(), shutdown: stop, canceller: newRequestCanceller(),
	}
	e.configFollower = &site.Follower{Holder: e.configHolder, Recorder: e.recorder}
	e.election = fleet.NewElection(fleet.ElectionOptions{
		Socket: fleet.NewSocket("", func() []string { return nil }, nil), Recorder: e.recorder,
		Mark: func(fleet.Subject) fleet.Mark { return fleet.Mark{Position: 1} }, Size: func() int { return 1 },
	})
	target := []site.Target{{Service: "s", Weight: 1}}
	e.configHolder.Offer(&site.Versioned{Position: 1, Config: site.New(1, []site.Route{
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: site.Stream, Resumable: true, Public: true, Targets: target},
		{Name: "call", Host: "h", Prefix: "/call/", Kind: site.AtMostOnce, Public: true, Targets: target},
	}, nil, nil, site.ClientLimits{})})
	e.directory.Apply(1, []directory.Listing{{ID: "a1", Service: "s", Address: "a1", Zone: "a", Slots: 64}}, false, time.Now())
	e.exchange = exchange.New(exchange.Options{
		Directory: e.directory, Backend: server, Services: e.findService, Recorder: e.recorder, Metrics: e.registry,
		Suspects: suspect.New(suspect.Options{Self: "m", Recorder: e.recorder}), RetryWindow: 10 * time.Second,
		RetryExtra: func() float64 { return 10 },
	})
	return e
}

// closedBeforeHead is the outcome of a connection that is closed before any part of a
// response. It may happen to a request that is sent while the process closes a
// keep-alive connection that has been idle for a second.
const closedBeforeHead = "cut before its head"

// sendModelRequest sends a request on a connection of its own and returns what the caller got.
func sendModelRequest(l *pipeListener, r modelRequest, id string) string {
	conn := l.dial()
	if conn == nil {
		return "no connection"
	}
	defer conn.Close()
	answers := bufio.NewReader(conn)
	if r.reused {
		if got := roundTripOn(conn, answers, "/call/"+modelCall.String(), id+"k"); got != "whole" {
			return "no connection"
		}
		time.Sleep(time.Second)
	}
	return roundTripOn(conn, answers, r.path, id)
}

// roundTripOn sends a request on a connection and returns what the caller got.
func roundTripOn(conn net.Conn, answers *bufio.Reader, path, id string) string {
	deadline := 25 * time.Second
	if strings.HasPrefix(path, "/call/") {
		deadline = 1500 * time.Millisecond
	}
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", path, id, deadline.Milliseconds())
	if err != nil {
		return "no connection"
	}
	answer, err := http.ReadResponse(answers, nil)
	if err != nil {
		return closedBeforeHead
	}
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil || (answer.StatusCode == http.StatusOK && !strings.Contains(string(body), "end")):
		return "cut"
	case answer.StatusCode == http.StatusServiceUnavailable:
		return "not run"
	case answer.StatusCode == http.StatusOK:
		return "whole"
	default:
		return answer.Status
	}
}

// runStop stops a process while requests arrive and returns what each caller got.
func runStop(t *testing.T, stop *shutdownState, requests []modelRequest) []string {
	backend := modelServer{reached: &sync.Map{}}
	e := modelEntry(stop, backend)
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	h := &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: e.shutdown, hasServers: e.anyServerListed}
	callers := e.trackCallers(l)
	server := &http.Server{Handler: e.countRunning(h)}
	callers.Attach(server)
	ctx, signal := context.WithCancel(t.Context())
	var group run.Group
	serveUntilDrained(ctx, &group, server, callers, func() { e.drain(server, callers) })
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	got := make([]string, len(requests))
	var sending sync.WaitGroup
	for i, r := range requests {
		sending.Go(func() {
			wait := modelSignal + r.at
			if r.reused {
				wait -= time.Second + modelCall
			}
			time.Sleep(wait)
			id := fmt.Sprint("r", i)
			got[i] = sendModelRequest(l, r, id)
			if _, ran := backend.reached.Load(id); got[i] == closedBeforeHead && !ran && r.reused {
				got[i] = "not run"
			}
		})
	}
	time.Sleep(modelSignal)
	signal()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	sending.Wait()
	return got
}

// modelRequests returns the requests to some paths at all times, on new and reused
// connections.
func modelRequests(paths ...string) []modelRequest {
	var all []modelRequest
	for _, path := range paths {
		for _, at := range modelSendTimes {
			all = append(all, modelRequest{path: path, at: at}, modelRequest{path: path, at: at, reused: at > -time.Second})
		}
	}
	return all
}

// runStopPairs stops a process once for each pair of requests.
func runStopPairs(t *testing.T, stop func() *shutdownState, requests []modelRequest) (broken []string, runs int) {
	for i := range requests {
		for j := i; j < len(requests); j++ {
			pair := []modelRequest{requests[i], requests[j]}
			runs++
			for k, got := range runStop(t, stop(), pair) {
				if got != "whole" && got != "not run" && got != "no connection" && len(broken) < 5 {
					broken = append(broken, fmt.Sprintf("%v and %v: %s", pair[k], pair[1-k], got))
				}
			}
		}
	}
	return broken, runs
}

// withoutHistory is the state of a process in which no request has ended yet.
func withoutHistory() *shutdownState { return newShutdownState() }

// withShortStreams is the state of a process in which only streams of two seconds have ended.
func withShortStreams() *shutdownState {
	s := newShutdownState()
	for range maxSamples {
		s.durationsOf(&site.Route{Name: "stream", Kind: site.Stream}).record(2 * time.Second)
	}
	return s
}

// A process is stopped while long and short streams and calls arrive, on new and on
// reused connections, at every decisive moment of the stop. Requests that it accepts are
// answered completely; the others are refused as not run or can't connect.
func TestStopDuringAllPairsOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		broken, runs := runStopPairs(t, withoutHistory, modelRequests("/stream/6.5s", "/call/60ms"))
		g.Expect(broken).To(gomega.BeEmpty())
		g.Expect(runs).To(gomega.BeNumerically(">", 1000))
		broken, _ = runStopPairs(t, withShortStreams, modelRequests("/stream/2s", "/call/700ms"))
		g.Expect(broken).To(gomega.BeEmpty())
	})
}

// Checks that the test above can fail: it detects a process that accepts streams that it
// can't finish.
func TestModelDetectsCutStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withoutEstimate := func() *shutdownState {
			s := newShutdownState()
			s.byRoute[routeKey{"stream", site.Stream}] = newDurationStats(0)
			return s
		}
		broken, _ := runStopPairs(t, withoutEstimate, modelRequests("/stream/6.5s"))
		gomega.NewWithT(t).Expect(broken).NotTo(gomega.BeEmpty())
	})
}
