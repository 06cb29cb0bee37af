package exchange

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/rollout"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

const (
	// hedgeFraction of its objective is how long an idempotent request waits for a
	// response before a second server is asked as well. Calls take a fifth of the
	// objective on average, so the second response still arrives within it.
	hedgeFraction = 0.5
)

// Reply is the response to a plain request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body in a response too large to be held in memory; nil
	// otherwise. If reading it fails, the response to the caller must be cut off.
	Rest Body

	server *directory.Server // that sent the response
}

// result is the outcome of one attempt.
type result struct {
	server *directory.Server
	run    *trackedRun
	took   time.Duration
	reply  *Reply
	err    error
}

// call is a plain request in progress.
type call struct {
	e          *Exchange
	req        *Request
	cancel     map[directory.Start]context.CancelFunc // of the attempts by server
	runs       []*trackedRun                          // of the attempts
	results    chan result
	tried      map[directory.Start]bool
	pending    int
	ran        int // ended attempts that may have run
	refused    int // attempts that provably did not run
	lastErr    error
	lastServer *directory.Server   // server of the newest attempt or result
	versions   *rollout.Assignment // versions of servers that may run it
	errorReply *Reply              // a server's own error response, forwarded if no better one arrives

	fingerprint types.Fingerprint
}

// Call serves a plain request. The error is a *Failure, or an *End if the caller has
// left.
func (e *Exchange) Call(ctx context.Context, req *Request) (*Reply, error) {
	if f := e.admit(req); f != nil {
		return nil, f
	}
	within, cancel := req.withDeadline(ctx)
	c := &call{e: e, req: req, cancel: map[directory.Start]context.CancelFunc{}, results: make(chan result, maxNotRunTries+req.Route.Attempts()+1), tried: map[directory.Start]bool{}, fingerprint: req.Fingerprint()}
	defer c.endRuns()
	c.versions = e.opts.Rollouts.Assign(req.Service, req.ID, true)
	reply, err := c.run(within)
	c.versions.Release()
	c.cancelLosers(reply)
	if reply != nil && reply.Rest != nil {
		reply.Rest = &trackedRest{Body: reply.Rest, call: c, status: reply.Status, ctx: within, cancel: cancel}
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
	c.e.conclude(c.req, status, err, func() []any { return c.summary(status) })
}

func (c *call) summary(status int) []any {
	fields := []any{"sent", c.ran, "pending", c.pending, "refused", c.refused, "server", serverName(c.lastServer), "last", c.lastErr}
	if status != 0 {
		fields = append(fields, "status", status)
	}
	return fields
}

// cancelLosers stops the attempts that lost. The winner's context must live on while
// the rest of its response is read.
func (c *call) cancelLosers(reply *Reply) {
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
	if err := c.launchFirst(ctx); errors.Is(err, errWaitEnded) {
		return c.interrupted(ctx)
	} else if err != nil {
		return nil, c.refusal(err)
	}
	hedge := c.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case r := <-c.results:
			if r.err != nil && ctx.Err() != nil {
				// The end of the request broke the attempt as well: no fault of its
				// server.
				return c.interrupted(ctx)
			}
			c.pending--
			if reply := c.handleResult(r); reply != nil {
				return reply, nil
			}
			if c.mayTry() && c.relaunch(ctx, r) {
				continue
			}
			if ctx.Err() != nil {
				return c.interrupted(ctx) // while it waited for a place
			}
			if c.pending == 0 {
				return c.fallback()
			}
		case <-hedge.C:
			if c.mayTry() && c.pending > 0 && !c.e.opts.Suspects.Accused(c.fingerprint) && c.hasUntried() && c.e.allowRetry(c.req.Service) {
				_ = c.launch(ctx) // without a second server the first one's answer is awaited
			}
		case <-ctx.Done():
			return c.interrupted(ctx)
		}
	}
}

// fallback returns the outcome when all attempts have ended.
func (c *call) fallback() (*Reply, error) {
	if c.errorReply != nil {
		return c.errorReply, nil
	}
	if c.isQuarantined() {
		return nil, c.refusal(errors.Wrap(ErrQuarantined, describe(c.lastErr)))
	}
	return nil, c.refusal(c.lastErr)
}

// hedgeTimer returns a timer that fires when a second server is to be asked as well; it
// never fires for a request that must not be hedged.
func (c *call) hedgeTimer() *time.Timer {
	objective := c.req.Route.Objective
	if c.req.Route.Kind != site.Idempotent || c.req.Route.Attempts() < 2 || objective <= 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeFraction * float64(objective)))
}

// mayTry reports whether the request may be sent to one more server. Servers that
// provably did not run it don't count against its attempts.
func (c *call) mayTry() bool {
	return c.ran+c.pending < c.req.Route.Attempts() && c.refused < maxNotRunTries && c.req.hasTime(time.Now()) && !c.isQuarantined()
}

// hasUntried reports whether there is a server to which the request has not been sent: a retry of
// the budget that no server gets is lost to others.
func (c *call) hasUntried() bool {
	return slices.ContainsFunc(c.e.opts.Directory.View().Service(c.req.Service), func(s *directory.Server) bool { return !c.tried[s.Start] })
}

// relaunch sends the request to another server after a failed attempt.
func (c *call) relaunch(ctx context.Context, r result) bool {
	if !c.hasUntried() {
		return false
	}
	if !unreached(r.err) && !c.e.allowRetry(c.req.Service) {
		c.lastErr = errors.Wrap(ErrBudget, c.lastErr.Error())
		return false
	}
	if c.launch(ctx) != nil {
		return false // the failure of the attempt before is the reason that counts
	}
	c.e.opts.Recorder.Emit(EventAgain, event.FieldRequest, c.req.ID, "route", c.req.Route.Name,
		"after", r.server.Start, "err", c.lastErr, "since", time.Since(c.req.Arrived))
	return true
}

// unreached reports whether an attempt never reached its server, so that the next one
// is no retry for the servers.
func unreached(err error) bool {
	var notRun *NotRunError
	return errors.As(err, &notRun) && notRun.Unreached()
}

// chooseServer returns the server for the next attempt.
func (c *call) chooseServer() (*directory.Server, error) {
	server, err := c.e.pickWithinLimit(func() (*directory.Server, error) {
		return c.e.pick(directory.Query{Service: c.req.Service, Zone: c.e.opts.Zone, Exclude: c.tried, Repeatable: c.req.Route.Repeatable()}, c.versions), nil
	}, func(s *directory.Server) { c.tried[s.Start] = true })
	if _, rest := c.allRestUntil(); server == nil && err == nil && rest {
		return nil, ErrServersRest
	}
	if server == nil && err == nil {
		err = ErrNoServer
	}
	return server, err
}

// launch sends the request to one more server. It fails if there is none.
func (c *call) launch(ctx context.Context) error {
	if err := c.awaitPlace(ctx); err != nil {
		return err
	}
	if err := c.e.awaitTurn(ctx, c.fingerprint); err != nil {
		return err
	}
	s, err := c.chooseServer()
	if err != nil {
		c.e.releaseTurn(c.fingerprint)
		return err
	}
	run := c.e.beginRun(c.fingerprint, s)
	if run == nil {
		c.e.releaseTurn(c.fingerprint)
		return ErrHeld
	}
	c.runs = append(c.runs, run)
	c.versions.Sent(s)
	c.tried[s.Start] = true
	c.pending++
	c.lastServer = s
	attemptCtx, cancel := context.WithCancel(ctx)
	c.cancel[s.Start] = cancel
	go func() {
		r := c.attempt(attemptCtx, s)
		r.run = run
		c.results <- r
	}()
	return nil
}

func (c *call) attempt(ctx context.Context, s *directory.Server) result {
	status, end := 0, c.beginCall(s)
	defer func() { end(status) }()
	began := time.Now()
	defer c.versions.Started(c.req.Route.Name, s).Done()
	answer, err := c.e.opts.Backend.Open(ctx, &Attempt{Request: c.req, Server: s, Timeout: c.req.timeLeft(time.Now())})
	if err != nil {
		return result{server: s, err: err}
	}
	reply, err := c.e.readReply(answer)
	if err != nil {
		return result{server: s, err: err}
	}
	reply.server, status = s, reply.Status
	return result{server: s, reply: reply, took: time.Since(began)}
}

// handleResult processes an attempt's result and returns the reply if it is final.
func (c *call) handleResult(r result) *Reply {
	c.lastServer = r.server
	c.observeAnswer(r)
	if r.err == nil && (r.reply.Status < 500 || !c.req.Route.Repeatable()) {
		c.ran++
		c.succeeded(r)
		return r.reply
	}
	if r.err == nil {
		c.ran++
		c.errorReply = r.reply
		c.lastErr = errors.Errorf("the server answered %d", r.reply.Status)
		r.server.RecordFault(time.Now(), errorStatusFaultWeight)
		c.e.metrics.attempts.WithLabelValues("error_status").Inc()
		return nil
	}
	c.lastErr = r.err
	var notRun *NotRunError
	if errors.As(r.err, &notRun) {
		c.refused++
		c.e.metrics.attempts.WithLabelValues(string(notRun.Reason)).Inc()
	} else {
		c.ran++
		c.e.checkBroken(c.req, r.server, c.takeRun(r.run), r.err, false)
		c.e.metrics.attempts.WithLabelValues("broken").Inc()
	}
	c.e.recordFailure(r.server, r.err)
	return nil
}

// takeRun hands a run over to whoever judges its crash, which ends it.
func (c *call) takeRun(run *trackedRun) *trackedRun {
	c.runs = slices.DeleteFunc(c.runs, func(other *trackedRun) bool { return other == run })
	return run
}

// endRuns ends the runs of the attempts that are not over.
func (c *call) endRuns() {
	for _, run := range c.runs {
		run.end()
	}
}

// errorStatusFaultWeight is the weight of a server's own error status, where a broken
// attempt has 1: healthy applications answer some of their requests that way.
const errorStatusFaultWeight = 0.15

func (c *call) succeeded(r result) {
	c.e.metrics.attempts.WithLabelValues("answered").Inc()
	if r.reply.Status >= 500 {
		r.server.RecordFault(time.Now(), errorStatusFaultWeight)
		return
	}
	r.server.MarkAlive(time.Now())
	c.e.opts.Suspects.RecordCompletion(c.fingerprint)
}

// interrupted returns the outcome when the time is up or the caller has left. An error
// response of a server is still a response.
func (c *call) interrupted(ctx context.Context) (*Reply, error) {
	end := c.req.endOf(ctx)
	if !timedOut(ctx) {
		return nil, end
	}
	if c.errorReply != nil {
		return c.errorReply, nil
	}
	return nil, &Failure{By: end.By, Ran: c.ran+c.pending > 0, TimedOut: true, RetryAfter: retryAfter, Err: errors.Wrap(ErrTimeout, describe(c.lastErr))}
}

func (c *call) refusal(err error) *Failure {
	after := retryAfter
	switch {
	case errors.Is(err, ErrQuarantined):
		after = quarantineRetryAfter
	case errors.Is(err, ErrHeld):
		after = heldRetryAfter
	case errors.Is(err, ErrServerLimits):
		after = c.e.limitRetryAfter(c.req.Service)
	case errors.Is(err, ErrPlacesTaken):
		after = c.e.placeRetryAfter(c.req.Service, c.req.Route.Objective)
	default:
		after = max(after, c.e.restRetryAfter(c.restQuery()))
	}
	return &Failure{By: c.req.failedBy(err), Ran: c.ran > 0, RetryAfter: after, Err: err}
}

func describe(err error) string {
	if err == nil {
		return "no answer yet"
	}
	return err.Error()
}
