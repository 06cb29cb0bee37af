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

// Call is what became of one attempt of a caller.
type Call struct {
	ID, Path, VM string
	Sent, Ended  time.Time
	Written      time.Time     // when the whole request had been sent; zero: it wasn't
	Idle         time.Duration // for how long its connection had been idle
	Failed       error         // why it has no answer
	Status       int           // 0: no answer
	Whole        bool          // the answer came to its end
	Wrong        string        // what was wrong with it; empty: nothing
}

// Callers send requests to random VMs until they are stopped.
type Callers struct {
	site   *Site
	client *http.Client
	next   atomic.Int64
	rng    func(n int) int

	mu    sync.Mutex
	calls []Call
}

const callerPause = 8 * time.Millisecond

// NewCallers returns callers of a site.
func NewCallers(site *Site) *Callers {
	return &Callers{site: site, rng: rand.IntN, client: &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second,
	}}}
}

// Run keeps the site's callers busy until ctx ends, and lets their last calls end.
func (c *Callers) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, vm := range c.site.VMs {
		for range c.site.size.Holders {
			wg.Go(func() { c.hold(ctx, vm) })
		}
	}
	c.busy(ctx, callersOfAVM*c.site.size.VMs)
	wg.Wait()
	c.client.CloseIdleConnections()
}

// busy keeps n callers busy until ctx ends.
func (c *Callers) busy(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.one()
				time.Sleep(callerPause)
			}
		})
	}
	wg.Wait()
}

// Calls returns what became of all attempts so far.
func (c *Callers) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

var kinds = []string{"/stream/", "/once/", "/any/"}

func (c *Callers) one() {
	vm := c.site.VMs[c.rng(len(c.site.VMs))]
	call := Call{ID: fmt.Sprintf("r%06d", c.next.Add(1)), VM: vm.Name}
	call.Path = kinds[c.rng(len(kinds))] + call.ID
	c.send(c.client, vm, &call, "k0")
	c.note(call)
}

func (c *Callers) note(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

const callTimeout = 9 * time.Second

func (c *Callers) send(client *http.Client, vm *VM, call *Call, key string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var written atomic.Int64
	defer func() {
		if at := written.Load(); at != 0 {
			call.Written = time.Unix(0, at)
		}
	}()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		call.Idle = info.IdleTime
	}, WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			written.Store(time.Now().UnixNano())
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.Callers+call.Path, strings.NewReader("body of "+call.ID))
	if err != nil {
		call.Wrong = err.Error()
		return
	}
	req.Host = host
	// A body that can be had again would let the client send by itself once more.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", call.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Token-Usage", "1000,200")
	call.Sent = time.Now()
	resp, err := client.Do(req)
	call.Ended = time.Now()
	if err != nil {
		call.Failed = err
		return
	}
	defer resp.Body.Close()
	call.Status = resp.StatusCode
	if id := resp.Header.Get("Attempt-Id"); id != call.ID {
		call.Wrong = "the answer is that to " + id
		return
	}
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		call.Whole = err == nil
		return
	}
	c.read(call, resp)
	call.Ended = time.Now()
}

func (c *Callers) read(call *Call, resp *http.Response) {
	if resp.Header.Get("Response-Signature") == "" {
		call.Wrong = "a success without a signature"
		return
	}
	if !strings.HasPrefix(call.Path, "/stream/") {
		body, err := io.ReadAll(resp.Body)
		want := nursery.PlainAnswer(call.Path, []byte("body of "+call.ID))
		call.Whole = err == nil
		if call.Whole && string(body) != want {
			call.Wrong = fmt.Sprintf("answer %q", body)
		}
		return
	}
	c.readStream(call, resp.Body)
}

func (c *Callers) readStream(call *Call, body io.Reader) {
	scanner := bufio.NewScanner(body)
	last := 0
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		last++
		if want := nursery.EventText(call.Path, last); data != want {
			call.Wrong = fmt.Sprintf("event %q where %q is due", data, want)
			return
		}
	}
	call.Whole = scanner.Err() == nil
	if call.Whole && last != nursery.Events {
		call.Wrong = fmt.Sprintf("a stream that looks whole has %d events", last)
	}
}
