package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

const (
	changeEvents = 6
	changeGap    = 100 * time.Millisecond
	changeFirst  = 200 * time.Millisecond // until a stream's first event; plain calls take twice that
	changeBreak  = 350 * time.Millisecond // when a server breaks the connection, if it does
	changeBody   = 250 * time.Millisecond // until a slow body is complete

	waitForServer = exchange.DefaultWaitForServer
)

// changeBackend serves requests; the first attempt of those to /…/break and
// /…/nocopy breaks off in the middle. A stream may resume from the copy of its KV
// cache, except for /…/nocopy, whose copy the server reports missing.
type changeBackend struct {
	modelServer
	fromCopy *atomic.Int64 // attempts that resumed from a copy
}

// Open implements exchange.Backend.
func (b changeBackend) Open(ctx context.Context, a *exchange.Attempt) (*exchange.Answer, error) {
	_, again := b.reached.LoadOrStore(a.Request.ID, true)
	breaks := !again && breaksOff(a.Request.Target)
	if a.ResumeFrom != nil && strings.HasSuffix(a.Request.Target, "/nocopy") {
		return nil, &exchange.NotRunError{Reason: exchange.Busy, Err: io.EOF}
	}
	if a.Request.Route.Kind != site.Stream {
		return b.call(ctx, breaks)
	}
	r, w := io.Pipe()
	go b.events(ctx, a, w, breaks)
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
}

func breaksOff(path string) bool {
	return strings.HasSuffix(path, "/break") || strings.HasSuffix(path, "/nocopy")
}

func (changeBackend) call(ctx context.Context, breaks bool) (*exchange.Answer, error) {
	length := 2 * changeFirst
	if breaks {
		length = changeBreak
	}
	select {
	case <-time.After(length):
	case <-ctx.Done():
		return nil, &exchange.BrokenError{Err: ctx.Err()}
	}
	if breaks {
		return nil, &exchange.BrokenError{Err: io.ErrUnexpectedEOF}
	}
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("end"))}, nil
}

func (b changeBackend) events(ctx context.Context, a *exchange.Attempt, w *io.PipeWriter, breaks bool) {
	after, _ := strconv.Atoi(a.ResumeAfter)
	ends := time.Now().Add(changeBreak)
	wait := changeFirst
	if a.ResumeFrom != nil {
		b.fromCopy.Add(1)
		wait = changeGap
	}
	for i := after + 1; i <= changeEvents; i++ {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			w.CloseWithError(ctx.Err())
			return
		}
		wait = changeGap
		if breaks && !time.Now().Before(ends) {
			w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		data := "x"
		if i == changeEvents {
			data = "end"
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
	}
	_ = w.Close()
}

// siteState is the configuration and the list of servers.
type siteState struct {
	target, second string // services; second is empty unless the route is split
	timeout        time.Duration
	removed        bool
	keys           []string // of the organisation; nil: the organisation is removed
	listed         bool     // the servers of service s are listed
	draining       bool
	maxBody        int64
	undescribed    bool // the configuration no longer describes the services: no copies are made
}

func initialState() siteState {
	return siteState{target: "s", timeout: 8 * time.Second, keys: []string{"k"}, listed: true, maxBody: 1000}
}

// siteChanges are what may change while a request runs.
var siteChanges = map[string]func(*siteState){
	"moved":      func(s *siteState) { s.target = "t" },
	"split":      func(s *siteState) { s.second = "t" },
	"removed":    func(s *siteState) { s.removed = true },
	"shorter":    func(s *siteState) { s.timeout = 300 * time.Millisecond },
	"longer":     func(s *siteState) { s.timeout = time.Minute },
	"unlisted":   func(s *siteState) { s.listed = false },
	"draining":   func(s *siteState) { s.draining = true },
	"revoked":    func(s *siteState) { s.keys = []string{"other"} },
	"org gone":   func(s *siteState) { s.keys = nil },
	"small body": func(s *siteState) { s.maxBody = 1 },
	"no service": func(s *siteState) { s.undescribed = true },
	"no change":  func(*siteState) {},
}

// apply puts the state in force in the process.
func (s siteState) apply(e *Entry, version uint64) {
	targets := []site.Target{{Service: s.target, Weight: 1}}
	if s.second != "" {
		targets = append(targets, site.Target{Service: s.second, Weight: 1})
	}
	var routes []site.Route
	if !s.removed {
		routes = []site.Route{
			{Name: "once", Prefix: "/once/", Kind: site.AtMostOnce},
			{Name: "again", Prefix: "/again/", Kind: site.Idempotent, MaxAttempts: 3, Objective: 500 * time.Millisecond},
			{Name: "stream", Prefix: "/stream/", Kind: site.Stream},
			{Name: "resume", Prefix: "/resume/", Kind: site.Stream, Resumable: true, MaxAttempts: 3},
		}
	}
	for i := range routes {
		routes[i].Host, routes[i].Targets, routes[i].Timeout = "h", targets, s.timeout
	}
	// Another route and organisation remain, so that the configuration is never empty.
	routes = append(routes, site.Route{Name: "rest", Host: "h", Prefix: "/rest/", Targets: []site.Target{{Service: "t", Weight: 1}}})
	organisations := []site.KeyedOrganisation{{Organisation: site.Organisation{Name: "p"}, Keys: []string{"kp"}}}
	if s.keys != nil {
		organisations = append(organisations, site.KeyedOrganisation{Organisation: site.Organisation{Name: "o"}, Keys: s.keys})
	}
	services := []site.Service{{Name: "s", Copies: true, CopiesOnDemand: true}, {Name: "t", Copies: true, CopiesOnDemand: true}}
	if s.undescribed {
		services = nil
	}
	e.configHolder.Offer(&site.Versioned{Position: types.Position(version), Config: site.New(version, routes, services, organisations, site.ClientLimits{BodyBytes: s.maxBody})})
	list := []directory.Listing{{ID: "t1", Service: "t", Address: "t1:1", Zone: "a", Slots: 64}, {ID: "t2", Service: "t", Address: "t2:1", Zone: "b", Slots: 64}}
	if s.listed {
		list = append(list, directory.Listing{ID: "s1", Service: "s", Address: "s1:1", Zone: "a", Slots: 64, Draining: s.draining},
			directory.Listing{ID: "s2", Service: "s", Address: "s2:1", Zone: "b", Slots: 64, Draining: s.draining})
	}
	e.directory.Apply(types.Position(version), list, false, time.Now())
}

// changeStep is a change and its time after a request's head.
type changeStep struct {
	change string
	at     time.Duration
}

// changeRequest is a caller's request.
type changeRequest struct {
	path string
	slow bool // sending its body takes changeBody
	// chunked is set if its body is sent without a length.
	chunked bool
}

// completeAt is when a request's last byte arrives, after which it is routed.
func (r changeRequest) completeAt() time.Duration {
	if r.slow {
		return changeBody
	}
	return 0
}

// runWithChanges makes changes while a request runs and returns what its caller got.
func runWithChanges(t *testing.T, r changeRequest, steps []changeStep, fromCopy *atomic.Int64) string {
	backend := changeBackend{modelServer{reached: &sync.Map{}}, fromCopy}
	e := modelEntry(newShutdownState(), backend.modelServer)
	e.configHolder, e.directory = site.NewHolder(), directory.New()
	e.exchange = exchange.New(exchange.Options{
		Directory: e.directory, Backend: backend, Services: e.findService, Recorder: e.recorder, Metrics: prometheus.NewRegistry(),
		Suspects: suspect.New(suspect.Options{Self: "m", Recorder: e.recorder}), RetryWindow: 10 * time.Second,
		RetryExtra: func() float64 { return 10 },
	})
	state, version := initialState(), uint64(1)
	state.apply(e, version)
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: e.shutdown, hasServers: e.anyServerListed}}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	sent := time.Now().Add(100 * time.Millisecond)
	got := make(chan string, 1)
	go func() { got <- sendAt(l, r, sent) }()
	for _, s := range steps {
		time.Sleep(time.Until(sent.Add(s.at)))
		siteChanges[s.change](&state)
		version++
		state.apply(e, version)
	}
	result := <-got
	time.Sleep(5 * time.Second) // until background work of the request has ended
	return result
}

// sendAt sends a request at the given time and returns what its caller got.
func sendAt(l *pipeListener, r changeRequest, at time.Time) string {
	conn := l.dial()
	defer conn.Close()
	time.Sleep(time.Until(at))
	framing, first, last := "Content-Length: 2", "a", "b"
	if r.chunked {
		framing, first, last = "Transfer-Encoding: chunked", "1\r\na\r\n", "1\r\nb\r\n0\r\n\r\n"
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\nAuthorization: Token k\r\nDeadline-Ms: 25000\r\n%s\r\n\r\n%s", r.path, framing, first)
	if r.slow {
		time.Sleep(changeBody)
	}
	_, _ = io.WriteString(conn, last)
	return outcomeOf(conn)
}

// outcomeOf reads a response and classifies it.
func outcomeOf(conn net.Conn) string {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return closedBeforeHead
	}
	body, err := io.ReadAll(answer.Body)
	switch {
	case err != nil:
		return "cut"
	case answer.StatusCode == http.StatusOK && strings.Contains(string(body), "end"):
		return "whole"
	case answer.StatusCode == http.StatusOK:
		return "cut, but looks whole"
	case answer.StatusCode == http.StatusServiceUnavailable:
		return "not run"
	default:
		return strconv.Itoa(answer.StatusCode)
	}
}

// expectedOutcomes returns the outcomes that a caller may see. Only what was in force when
// its request was complete counts, except for servers that a later attempt needs.
func expectedOutcomes(r changeRequest, steps []changeStep) []string {
	at := initialState()
	later, tooLarge := false, false
	for _, s := range steps {
		// The body limit is the one in force when the head arrives.
		tooLarge = tooLarge || (s.change == "small body" && s.at < 0)
		if s.at < r.completeAt() {
			siteChanges[s.change](&at)
			continue
		}
		later = later || s.change == "unlisted" || s.change == "draining"
	}
	breaks, kind := breaksOff(r.path), strings.Split(r.path, "/")[1]
	takes := changeFirst + (changeEvents-1)*changeGap
	switch {
	case tooLarge:
		return []string{"413"}
	case at.removed:
		return []string{"404"}
	case !slices.Contains(at.keys, "k"):
		return []string{"401"}
	case at.target == "s" && (!at.listed || at.draining):
		if at.second != "" {
			return []string{"not run", "whole", "cut", "502", "504"} // depends on the service that was picked
		}
		if at.timeout-r.completeAt() < waitForServer && (kind == "stream" || kind == "resume") {
			return []string{"not run", "504"} // its deadline passes while it still waits for a server
		}
		return []string{"not run"}
	}
	if kind == "once" || kind == "again" {
		return expectedCallOutcomes(kind, breaks, later, at.timeout)
	}
	return expectedStreamOutcomes(kind, breaks, later, at.timeout-r.completeAt() < takes)
}

func expectedCallOutcomes(kind string, breaks, later bool, timeout time.Duration) []string {
	switch {
	case timeout < 2*changeFirst:
		return []string{"504"}
	case !breaks:
		return []string{"whole"}
	case kind == "once":
		return []string{"502"}
	case later:
		return []string{"502", "whole"} // the server for the next attempt may be gone
	default:
		return []string{"whole"}
	}
}

func expectedStreamOutcomes(kind string, breaks, later, short bool) []string {
	switch {
	case short || (breaks && kind == "stream"):
		return []string{"cut", "504"}
	case breaks && later:
		return []string{"cut", "whole"}
	default:
		return []string{"whole"}
	}
}

// changeTimes are before the request, during its body, before the first event (or
// during the call), between events, at the break and during the resume.
var changeTimes = []time.Duration{
	-time.Millisecond, time.Millisecond, 150 * time.Millisecond, 251 * time.Millisecond, changeBreak,
	450 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond,
}

func changeRequests() []changeRequest {
	var all []changeRequest
	for _, kind := range []string{"once", "again", "stream", "resume"} {
		all = append(all, changeRequest{path: "/" + kind + "/ok"}, changeRequest{path: "/" + kind + "/break"},
			changeRequest{path: "/" + kind + "/ok", slow: true}, changeRequest{path: "/" + kind + "/ok", slow: true, chunked: true})
	}
	return append(all, changeRequest{path: "/resume/nocopy"})
}

// Runs every kind of request against every change of the configuration and the server
// list at every decisive moment, and against pairs of changes at some moments. A request
// that has been routed is answered completely; otherwise the configuration in force when
// it is complete decides. No caller sees a connection closed without a response.
func TestChangesAtAllMomentsOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var broken []string
		runs := 0
		var fromCopy atomic.Int64
		run := func(r changeRequest, steps ...changeStep) {
			runs++
			got := runWithChanges(t, r, steps, &fromCopy)
			if !slices.Contains(expectedOutcomes(r, steps), got) {
				broken = append(broken, fmt.Sprintf("%+v with changes %v: %s, expected %v", r, steps, got, expectedOutcomes(r, steps)))
			}
		}
		for _, r := range changeRequests() {
			for change := range siteChanges {
				for i, at := range changeTimes {
					run(r, changeStep{change, at})
					for second := range siteChanges {
						if at < changeBreak && second != "no change" {
							run(r, changeStep{change, at}, changeStep{second, changeTimes[i+2]})
						}
					}
				}
			}
		}
		t.Logf("%d runs, %d resumes from a copy", runs, fromCopy.Load())
		g := gomega.NewWithT(t)
		g.Expect(broken).To(gomega.BeEmpty())
		g.Expect(fromCopy.Load()).To(gomega.BeNumerically(">", 0), "some streams resumed from a copy")
	})
}
