package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
)

const (
	// wholeBody is the largest answer that is read to its end before the caller
	// gets any of it: until then a broken answer can be asked for again.
	wholeBody = 256 << 10
	// hedgeShare of its objective is how long an idempotent request waits for
	// an answer before a second server is asked too. Calls take a fifth of the
	// objective in the mean; the second answer then still comes within it.
	hedgeShare = 0.5
)

// Reply is the answer to a plain request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body in an answer too large to be held; nil
	// otherwise. If it fails, the caller's answer must be cut off.
	Rest Body
}

// result is what came of one attempt.
type result struct {
	server *directory.Server
	reply  *Reply
	err    error
}

// call is a plain request on its way.
type call struct {
	e       *Exchange
	req     *Request
	cancel  []context.CancelFunc
	results chan result
	tried   map[directory.Start]bool
	pending int
	sent    int // attempts that may have run
	refused int // attempts proved not to have run
	last    error
	newest  *directory.Server // whose result came last
	failing *Reply            // a server's own failure, passed on if nothing better comes
}

// Call serves a plain request. The error is a *Failure, or that of ctx when the
// caller has left.
func (e *Exchange) Call(ctx context.Context, req *Request) (*Reply, error) {
	if f := e.begin(req); f != nil {
		return nil, f
	}
	within, cancel := context.WithDeadline(ctx, req.Until)
	defer cancel()
	c := &call{e: e, req: req, results: make(chan result, notRunTries+req.Route.Attempts()+1), tried: map[directory.Start]bool{}}
	reply, err := c.run(within)
	c.end(reply)
	e.concluded(ctx, req, err, func() []any { return c.summary(reply) })
	return reply, err
}

func (c *call) summary(reply *Reply) []any {
	fields := []any{"sent", c.sent, "refused", c.refused, "server", idOf(c.newest), "last", c.last}
	if reply != nil {
		fields = append(fields, "status", reply.Status)
	}
	return fields
}

// end stops the attempts that lost; the winner's context must live on while a
// rest of its answer is read.
func (c *call) end(reply *Reply) {
	if reply != nil && reply.Rest != nil {
		return
	}
	for _, cancel := range c.cancel {
		cancel()
	}
}

func (c *call) run(ctx context.Context) (*Reply, error) {
	if !c.launch(ctx) {
		return nil, c.refusal(ErrNoServer)
	}
	hedge := c.hedge()
	defer hedge.Stop()
	for {
		select {
		case r := <-c.results:
			c.pending--
			if reply := c.take(r); reply != nil {
				return reply, nil
			}
			if c.mayTry() && c.launchAgain(ctx, r) {
				continue
			}
			if c.pending == 0 {
				return c.remainder()
			}
		case <-hedge.C:
			if c.mayTry() && c.pending > 0 && c.e.allowRetry(c.req.Service) {
				c.launch(ctx)
			}
		case <-ctx.Done():
			return nil, c.ended(ctx)
		}
	}
}

// remainder returns what is left when every attempt has ended.
func (c *call) remainder() (*Reply, error) {
	if c.failing != nil {
		return c.failing, nil
	}
	return nil, c.refusal(c.last)
}

func (c *call) hedge() *time.Timer {
	objective := c.req.Route.Objective
	if c.req.Route.Kind != site.Idempotent || c.req.Route.Attempts() < 2 || objective <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeShare * float64(objective)))
}

// mayTry tells whether the request may be sent to one more server: those that
// proved not to have run it don't count against its attempts.
func (c *call) mayTry() bool {
	return c.sent+c.pending < c.req.Route.Attempts() && c.refused < notRunTries
}

// launchAgain sends the request once more after a failed attempt.
func (c *call) launchAgain(ctx context.Context, r result) bool {
	if !unreached(r.err) && !c.e.allowRetry(c.req.Service) {
		c.last = errors.Wrap(ErrBudget, c.last.Error())
		return false
	}
	if !c.launch(ctx) {
		return false
	}
	c.e.opts.Recorder.Emit(EventAgain, event.FieldRequest, c.req.ID, "route", c.req.Route.Name,
		"after", r.server.Start, "err", c.last, "since", time.Since(c.req.Arrived))
	return true
}

// unreached tells whether an attempt never reached its server, so that the next
// one is no retry there.
func unreached(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun) && notRun.Unreached()
}

func (c *call) launch(ctx context.Context) bool {
	s := c.e.opts.Directory.Pick(directory.Query{Service: c.req.Service, Zone: c.e.opts.Zone, Avoid: c.tried}, time.Now())
	if s == nil {
		return false
	}
	c.tried[s.Start] = true
	c.pending++
	attempt, cancel := context.WithCancel(ctx)
	c.cancel = append(c.cancel, cancel)
	go func() { c.results <- c.attempt(attempt, s) }()
	return true
}

func (c *call) attempt(ctx context.Context, s *directory.Server) result {
	defer s.CallBegun()()
	answer, err := c.e.opts.Backend.Open(ctx, &Attempt{Request: c.req, Server: s, Left: c.req.left(time.Now())})
	if err != nil {
		return result{server: s, err: err}
	}
	reply, err := whole(answer)
	return result{server: s, reply: reply, err: err}
}

// whole reads an answer's body to its end if it is of ordinary size.
func whole(a *Answer) (*Reply, error) {
	var body bytes.Buffer
	n, err := io.CopyN(&body, a.Body, wholeBody)
	if err != nil && err != io.EOF {
		_ = a.Body.Close()
		return nil, &BrokenError{Err: err}
	}
	reply := &Reply{Status: a.Status, Header: a.Header, Body: body.Bytes()}
	if n == wholeBody {
		reply.Rest = a.Body
	}
	return reply, nil
}

// take looks at an attempt's result and returns the reply if it is final.
func (c *call) take(r result) *Reply {
	c.newest = r.server
	if r.err == nil && (r.reply.Status < 500 || !c.req.Route.Repeatable()) {
		c.sent++
		c.succeeded(r)
		return r.reply
	}
	if r.err == nil {
		c.sent++
		c.failing = r.reply
		c.last = errors.Errorf("the server answered %d", r.reply.Status)
		r.server.Fault(time.Now(), ownErrorFault)
		c.e.metrics.attempts.WithLabelValues("error_status").Inc()
		return nil
	}
	c.last = r.err
	var notRun *NotRunError
	if errors.As(r.err, &notRun) {
		c.refused++
		c.e.metrics.attempts.WithLabelValues(string(notRun.Reason)).Inc()
	} else {
		c.sent++
		c.e.mayHaveCrashed(c.req, r.server)
		c.e.metrics.attempts.WithLabelValues("broken").Inc()
	}
	c.e.failed(r.server, r.err)
	return nil
}

// ownErrorFault is the weight of a server's own error status: applications
// answer some of their requests so when they are sound.
const ownErrorFault = 0.15

func (c *call) succeeded(r result) {
	c.e.metrics.attempts.WithLabelValues("answered").Inc()
	if r.reply.Status >= 500 {
		r.server.Fault(time.Now(), ownErrorFault)
		return
	}
	r.server.Alive(time.Now())
}

// ended is the outcome when the time is up or the caller has left.
func (c *call) ended(ctx context.Context) error {
	if !timedOut(ctx) {
		return ctx.Err()
	}
	return &Failure{Ran: c.sent+c.pending > 0, TimedOut: true, RetryAfter: retryAfter, Err: errors.Wrap(ErrTimeout, describe(c.last))}
}

func (c *call) refusal(err error) *Failure {
	return &Failure{Ran: c.sent > 0, RetryAfter: retryAfter, Err: err}
}

func describe(err error) string {
	if err == nil {
		return "no answer yet"
	}
	return err.Error()
}

// concluded logs and counts how a request ended, with the configuration that
// routed it and the list of servers known now.
func (e *Exchange) concluded(ctx context.Context, req *Request, err error, more func() []any) {
	took := time.Since(req.Arrived)
	kind := req.Route.Kind.String()
	line := append([]any{event.FieldRequest, req.ID, "route", req.Route.Name, "kind", kind, "service", req.Service,
		"organisation", req.Organisation, "version", req.Version, "list", e.opts.Directory.View().Position, "took", took}, more()...)
	var failure *Failure
	switch {
	case err == nil:
		e.metrics.requests.WithLabelValues(kind, "served").Inc()
		e.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
		e.opts.Recorder.Emit(EventServed, line...)
	case errors.As(err, &failure) && !failure.Ran:
		e.metrics.requests.WithLabelValues(kind, "refused").Inc()
		e.opts.Recorder.Emit(EventRefused, append(line, "err", failure.Err)...)
	case ctx.Err() != nil:
		e.metrics.requests.WithLabelValues(kind, "caller_left").Inc()
		e.opts.Recorder.Emit(EventCallerLeft, line...)
	default:
		e.metrics.requests.WithLabelValues(kind, "failed").Inc()
		e.opts.Recorder.Emit(EventFailed, append(line, "err", err)...)
	}
}
