package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

// Call records one request of a caller and its outcome.
type Call struct {
	ID, Path, VM string
	Sent, Ended  time.Time
	Written      time.Time     // when the whole request had been sent; zero if it was not
	Idle         time.Duration // how long its connection had been idle before; 0 for a new one
	Reused       bool          // its connection had carried another request
	Err          error         // why there is no response; nil if there is one
	Status       int           // HTTP status; 0 if there is no response
	Complete     bool          // the response was read to its end
	ToldLeaving  time.Time     // when the response's head came, if it says that its server leaves
	Begun        time.Time     // when the response's head came; zero if there is none
	RetryAfter   string        // header of the response
	patience     time.Duration // after which the caller closes its connection; 0: only at callTimeout
	leaveAfter   int           // events after which the caller closes its connection; 0: it doesn't
	before       int           // events of the stream that the caller had before
	got          streamProgress
	Mismatch     string // how the response differs from the expected one, or why the request is invalid; empty otherwise
}

// Callers generates load: it sends requests to random VMs and records their outcomes.
type Callers struct {
	site     *Site
	client   *http.Client
	nextID   atomic.Int64
	randIntN func(n int) int // returns a random number below n

	mu    sync.Mutex
	calls []Call
}

// callerPause is the time between a response and the next request of the same caller.
const callerPause = 8 * time.Millisecond

// NewCallers returns the load generator of a site.
func NewCallers(site *Site) *Callers {
	return &Callers{site: site, randIntN: rand.IntN, client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second,
	}}}
}

// Run sends requests to the site until ctx ends, and waits for the last ones to complete.
func (c *Callers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, vm := range c.site.VMs {
		for range c.site.size.IdleCallers {
			wg.Go(func() { c.runIdleCaller(ctx, vm) })
		}
		for range c.site.size.NewConnectionCallers {
			wg.Go(func() { c.runNewConnectionCaller(ctx, vm) })
		}
	}
	for range c.site.size.ReturningCallers * c.site.size.VMs {
		wg.Go(func() { c.runReturningCaller(ctx) })
	}
	c.generateLoad(ctx, callersPerVM*c.site.size.VMs)
	wg.Wait()
	c.client.CloseIdleConnections()
}

// runNewConnectionCaller sends plain requests to a VM, each on a connection of its own, until
// ctx ends.
func (c *Callers) runNewConnectionCaller(ctx context.Context, vm *VM) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	for n := 0; ctx.Err() == nil; n++ {
		call := Call{ID: fmt.Sprintf("r%06d", c.nextID.Add(1)), VM: vm.Name}
		call.Path = []string{"/once/", "/any/"}[n%2] + call.ID
		c.send(client, vm, &call, "k0")
		c.record(call)
		time.Sleep(callerPause)
	}
}

// generateLoad runs n callers that send one request after another until ctx ends. It
// returns when their last requests have completed.
func (c *Callers) generateLoad(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(max(callerPause, c.sendOne()))
			}
		})
	}
	wg.Wait()
}

// generateLoadFor is generateLoad for a time.
func (c *Callers) generateLoadFor(d time.Duration, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	c.generateLoad(ctx, n)
}

// Calls returns the calls completed so far.
func (c *Callers) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

// pathPrefixes are the path prefixes of the streaming, the non-idempotent and the
// idempotent route.
var pathPrefixes = []string{"/stream/", "/once/", "/any/"}

// sendOne sends one request of a random route to a random VM and records it. It returns how
// long the caller is to wait before the next one, if it honours Retry-After.
func (c *Callers) sendOne() time.Duration {
	vm := c.site.VMs[c.randIntN(len(c.site.VMs))]
	if c.site.size.Contended {
		call, key := c.contendedCall()
		return pauseAfter(c.sendTo(vm, call, key))
	}
	call := Call{ID: fmt.Sprintf("r%06d", c.nextID.Add(1))}
	call.Path = pathPrefixes[c.randIntN(len(pathPrefixes))] + call.ID
	c.sendTo(vm, call, "k0")
	return 0
}

// sendTo sends a request to a VM, records it and returns it with its outcome.
func (c *Callers) sendTo(vm *VM, call Call, key string) Call {
	call.VM = vm.Name
	c.send(c.client, vm, &call, key)
	c.record(call)
	return call
}

func (c *Callers) record(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// callTimeout is the callers' deadline, which the requests name. It lies between the
// shortest timeout of the streaming route, 8 s, and the longest, 10 s.
const callTimeout = 9 * time.Second

// send sends one request with an API key, reads and checks the response, and fills in
// the outcome of call.
func (c *Callers) send(client *http.Client, vm *VM, call *Call, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), call.patienceOr(callTimeout))
	defer cancel()
	// The transport calls WroteRequest in a goroutine of its own.
	var written atomic.Int64 // Unix nanoseconds
	defer func() {
		if at := written.Load(); at != 0 {
			call.Written = time.Unix(0, at)
		}
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		call.Idle, call.Reused = info.IdleTime, info.Reused
	}, WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.CallerAddress+call.Path, strings.NewReader("body of "+call.ID))
	if err != nil {
		call.Mismatch = err.Error()
		return
	}
	c.setHeaders(req, call.ID, key)
	call.got.setHeaders(req.Header)
	call.Sent = time.Now()
	resp, err := client.Do(req)
	call.Ended = time.Now()
	if err != nil {
		call.Err = err
		return
	}
	defer resp.Body.Close()
	call.Status, call.Begun, call.RetryAfter = resp.StatusCode, call.Ended, resp.Header.Get("Retry-After")
	if resp.Header.Get("Server-Leaving") != "" {
		call.ToldLeaving = call.Ended
	}
	if id := resp.Header.Get("Attempt-Id"); id != call.ID {
		call.Mismatch = fmt.Sprintf("the response has Attempt-Id %q", id)
		return
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		call.Complete = err == nil
		return
	}
	c.checkResponse(call, resp)
	call.Ended = time.Now()
}

// setHeaders completes a request of a caller.
func (c *Callers) setHeaders(req *http.Request, id, key string) {
	req.Host = host
	// With GetBody set, the client could retry the request by itself, which would look
	// like a second run of a request that was sent once.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Token-Usage", "1000,200")
}

// checkResponse reads a response with status 200 and compares it with what the server
// must have sent.
func (c *Callers) checkResponse(call *Call, resp *http.Response) {
	if resp.Header.Get("Response-Signature") == "" {
		call.Mismatch = "status 200 without Response-Signature"
		return
	}
	if !strings.HasPrefix(call.Path, "/stream/") {
		body, err := io.ReadAll(resp.Body)
		want := nursery.PlainAnswer(call.Path, []byte("body of "+call.ID))
		call.Complete = err == nil
		if call.Complete && string(body) != want {
			call.Mismatch = fmt.Sprintf("body %q, expected %q", body, want)
		}
		return
	}
	c.checkStream(call, resp.Body)
}

// checkStream checks that a stream has all events of the server that the caller lacks, in
// order, once each and of one version.
func (c *Callers) checkStream(call *Call, body io.Reader) {
	scanner := bufio.NewScanner(body)
	event := ""
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			event = data
		}
		if scanner.Text() != "" || event == "" {
			continue // an event that is cut off has no empty line behind it
		}
		if call.Mismatch = call.got.add(call.Path, event); call.Mismatch != "" {
			return
		}
		event = ""
		if call.got.events == call.leaveAfter {
			return
		}
	}
	call.Complete = scanner.Err() == nil
	if call.Complete && call.got.events != nursery.Events {
		call.Mismatch = fmt.Sprintf("complete stream has %d events, expected %d", call.got.events, nursery.Events)
	}
}
