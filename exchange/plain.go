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

	server *directory.Server // whose answer it is
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
	cancel  map[directory.Start]context.CancelFunc // of attempts
	results chan result
	tried   map[directory.Start]bool
	pending int
	sent    int // attempts that may have run
	refused int // attempts proved not to have run
	last    error
	newest  *directory.Server // that was sent to, or whose result came, last
	failing *Reply            // a server's own failure, passed on if nothing better comes
}

// Call serves a plain request. The error is a *Failure, or that of ctx when the
// caller has left.
func (e *Exchange) Call(ctx context.Context, req *Request) (*Reply, error) {
	if f := e.begin(req); f != nil {
		return nil, f
	}
	within, cancel := req.within(ctx)
	c := &call{e: e, req: req, cancel: map[directory.Start]context.CancelFunc{}, results: make(chan result, notRunTries+req.Route.Attempts()+1), tried: map[directory.Start]bool{}}
	reply, err := c.run(within)
	c.endLosers(reply)
	if reply != nil && reply.Rest != nil {
		reply.Rest = &rest{Body: reply.Rest, call: c, status: reply.Status, ctx: within, cancel: cancel}
		return reply, nil
	}
	cancel()
	status := 0
	if reply != nil {
		status = reply.Status
	}
	c.conclude(status, err)
	return reply, err
}

func (c *call) conclude(status int, err error) {
	c.e.concluded(c.req, status, err, func() []any { return c.summary(status) })
}

func (c *call) summary(status int) []any {
	fields := []any{"sent", c.sent, "pending", c.pending, "refused", c.refused, "server", idOf(c.newest), "last", c.last}
	if status != 0 {
		fields = append(fields, "status", status)
	}
	return fields
}

// endLosers stops the attempts that lost; the winner's context must live on
// while a rest of its answer is read.
func (c *call) endLosers(reply *Reply) {
	for server, cancel := range c.cancel {
		if reply == nil || reply.Rest == nil || server != reply.server.Start {
			cancel()
		}
	}
}

func (c *call) run(ctx context.Context) (*Reply, error) {
	if !c.req.hasTime(time.Now()) {
		return nil, c.refusal(ErrNoTime)
	}
	if !c.launch(ctx) {
		return nil, c.refusal(ErrNoServer)
	}
	hedge := c.hedge()
	defer hedge.Stop()
	for {
		select {
		case r := <-c.results:
			if r.err != nil && ctx.Err() != nil {
				// What ended the request broke the attempt too: no fault of its server.
				return c.ended(ctx)
			}
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
			return c.ended(ctx)
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
	return c.sent+c.pending < c.req.Route.Attempts() && c.refused < notRunTries && c.req.hasTime(time.Now())
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
	s := c.e.opts.Directory.Pick(directory.Query{Service: c.req.Service, Zone: c.e.opts.Zone, Exclude: c.tried}, time.Now())
	if s == nil {
		return false
	}
	c.tried[s.Start] = true
	c.pending++
	c.newest = s
	attempt, cancel := context.WithCancel(ctx)
	c.cancel[s.Start] = cancel
	go func() { c.results <- c.attempt(attempt, s) }()
	return true
}

func (c *call) attempt(ctx context.Context, s *directory.Server) result {
	defer s.BeginCall()()
	answer, err := c.e.opts.Backend.Open(ctx, &Attempt{Request: c.req, Server: s, Left: c.req.left(time.Now())})
	if err != nil {
		return result{server: s, err: err}
	}
	reply, err := whole(answer)
	if err != nil {
		return result{server: s, err: err}
	}
	reply.server = s
	return result{server: s, reply: reply}
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
		r.server.RecordFault(time.Now(), ownErrorFault)
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
		r.server.RecordFault(time.Now(), ownErrorFault)
		return
	}
	r.server.MarkAlive(time.Now())
}

// ended is the outcome when the time is up or the caller has left. A failure that a
// server has answered with is still an answer.
func (c *call) ended(ctx context.Context) (*Reply, error) {
	end := c.req.endOf(ctx)
	if !timedOut(ctx) {
		return nil, end
	}
	if c.failing != nil {
		return c.failing, nil
	}
	return nil, &Failure{By: end.By, Ran: c.sent+c.pending > 0, TimedOut: true, RetryAfter: retryAfter, Err: errors.Wrap(ErrTimeout, describe(c.last))}
}

func (c *call) refusal(err error) *Failure {
	return &Failure{By: c.req.failedBy(err), Ran: c.sent > 0, RetryAfter: retryAfter, Err: err}
}

func describe(err error) string {
	if err == nil {
		return "no answer yet"
	}
	return err.Error()
}
