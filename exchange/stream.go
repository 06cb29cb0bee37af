package exchange

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
)

// stream is a streaming request on its way.
type stream struct {
	e    *Exchange
	req  *Request
	sink Sink

	begun    bool   // the head has been sent
	status   int    // of an answer that is no stream
	last     uint64 // event that the caller has
	lastAt   time.Time
	firstAt  time.Time
	longest  time.Duration
	tried    map[directory.Start]bool // servers that proved not to run it, or that broke
	arrivals int                      // sendings that reached a server
	reserved bool                     // the budget holds a retry that has reached no server yet
	ran      int                      // attempts that may have run
	refused  int
	// refusedNow counts the refusals since the caller's last event.
	refusedNow int
	// left counts the servers that were begun beside a silent one and left again:
	// each may have run the stream.
	left int
	// turnedDown counts the refusals of servers that were asked beside the current
	// one, since the caller's last event. They are no tries of a stream whose
	// attempt is over.
	turnedDown int
	resumed    int
	cause      error
	lostZone   string
	kept       map[directory.Start]int // tokens of the prompt that servers keep

	current  *streamAttempt // the newest whose events go to the caller; nil before the first
	next     *streamAttempt // begun beside current while that is silent; nil otherwise
	quiet    bool           // current is silent, and that has been told
	waitsFor string         // why no other server goes on with it, as told last
	// retryAvailable fires when the retry budget is to be asked again; nil: it is not.
	retryAvailable <-chan time.Time
	sent           bool // current is under way: it may be running
	onItsWay       *onItsWay
}

// Stream serves a streaming request into sink. A *Failure before the head is
// for the caller; after it, the caller's answer must be cut off.
func (e *Exchange) Stream(ctx context.Context, req *Request, sink Sink) (begun bool, err error) {
	if f := e.begin(req); f != nil {
		return false, f
	}
	within, cancel := req.within(ctx)
	defer cancel()
	s := e.newStream(req, sink)
	defer e.running.end(s.onItsWay)
	err = s.run(within)
	if s.current != nil {
		s.current.copies.close()
	}
	if err == nil {
		e.opts.Suspects.Completed(req.Fingerprint())
		e.metrics.pauses.Observe(s.longest.Seconds())
	}
	e.concluded(req, s.status, err, s.summary)
	return s.begun, err
}

func (e *Exchange) newStream(req *Request, sink Sink) *stream {
	s := &stream{e: e, req: req, sink: sink, tried: map[directory.Start]bool{}, onItsWay: e.running.begin(req.ID)}
	s.last, _ = strconv.ParseUint(req.LastEvent, 10, 64)
	return s
}

func (s *stream) summary() []any {
	first := time.Duration(0)
	if !s.firstAt.IsZero() {
		first = s.firstAt.Sub(s.req.Arrived)
	}
	return []any{"first", first, "pause", s.longest, "reached", s.last, "ran", s.ran, "refused", s.refused,
		"resumed", s.resumed, "begun", s.begun, "server", s.current.name(), "last", s.cause}
}

func (s *stream) run(ctx context.Context) error {
	s.locate(ctx)
	for {
		server, from, err := s.choose(ctx)
		if err != nil {
			return s.failure(ctx, err)
		}
		s.current, s.quiet, s.sent = s.launch(ctx, server, from), false, true
		s.onItsWay.server.Store(server)
		err = s.follow(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return s.failure(ctx, err)
		}
		var done *finalError
		if errors.As(err, &done) {
			return s.final(ctx, done.err)
		}
		s.sent = false
		s.note(s.current, err)
		if !s.mayGoOn() {
			return s.failure(ctx, err)
		}
	}
}

// finalError ends a stream: nothing more is to be tried.
type finalError struct{ err error }

// final is the outcome of a stream that got such an error: its own, or that the
// answer could not be written any more.
func (s *stream) final(ctx context.Context, err error) error {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return s.req.unwritten(ctx, err)
}

func (f *finalError) Error() string { return f.err.Error() }

// note learns from a failed attempt.
func (s *stream) note(a *streamAttempt, err error) {
	s.cause = err
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		// What did not run has left no copy.
		a.copies.drop()
		s.refused++
		if a == s.current {
			s.refusedNow++
		} else {
			s.turnedDown++
		}
		s.e.metrics.attempts.WithLabelValues(string(notRun.Reason)).Inc()
		if !notRun.Unreached() {
			s.reached()
		}
		if a.from != nil && notRun.Reason == Busy {
			// There was no copy: the server itself may be tried from the start.
			s.again(a, err)
			return
		}
	} else {
		s.ran++
		s.reached()
		s.lostZone = a.server.Zone
		if !a.heard {
			// Memory is copied once there is an event. Asked for a copy of less, the
			// server refuses, which costs a retry of the budget.
			a.copies.drop()
		}
		s.e.mayHaveCrashed(s.req, a.server)
		s.e.metrics.attempts.WithLabelValues("broken").Inc()
	}
	s.tried[a.server.Start] = true
	s.e.failed(a.server, err)
	s.again(a, err)
}

// reached counts an attempt that reached its server: the next one is a retry.
func (s *stream) reached() {
	s.arrivals++
	s.reserved = false
}

// again says that an attempt failed and another may follow.
func (s *stream) again(a *streamAttempt, err error) {
	s.e.opts.Recorder.Emit(EventAgain, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "after", a.server.Start,
		"reached", s.last, "err", err, "since", time.Since(s.req.Arrived), "copy", idOf(a.copies.at()))
}

func idOf(s *directory.Server) string {
	if s == nil {
		return ""
	}
	return s.String()
}

// mayGoOn tells whether one more attempt is allowed.
func (s *stream) mayGoOn() bool {
	if s.ran+s.left >= s.req.Route.Attempts() || s.refusedNow >= 2*notRunTries {
		return false
	}
	if s.ran > 0 && !s.req.Route.Resumable {
		return false
	}
	return true
}

// choose returns the server for the next attempt: the one that holds a copy of
// the stream's memory, or else the one that is expected to begin soonest.
func (s *stream) choose(ctx context.Context) (*directory.Server, *Memory, error) {
	if !s.req.hasTime(time.Now()) {
		return nil, nil, ErrNoTime
	}
	if s.arrivals > 0 && !s.hasCopy() {
		// A retry that would be late must cost nothing of the budget.
		if _, err := s.inTime(); err != nil {
			return nil, nil, err
		}
	}
	if s.arrivals > 0 && !s.reserveRetry(ctx) {
		return nil, nil, ErrBudget
	}
	if s.hasCopy() {
		m := s.current.copies.take()
		return m.At, m, nil
	}
	if s.current != nil {
		s.current.copies.close()
	}
	giveUp := time.Now().Add(s.e.opts.Timings.WaitForServer)
	for {
		server, err := s.inTime()
		if server != nil || err != nil {
			return server, nil, err
		}
		if time.Now().After(giveUp) {
			return nil, nil, ErrNoServer
		}
		if err := retry.Wait(ctx, pickAgain); err != nil {
			return nil, nil, err
		}
		clear(s.tried)
	}
}

// hasCopy tells whether a copy of the stream's memory may be gone on from.
func (s *stream) hasCopy() bool {
	if s.current == nil {
		return false
	}
	at := s.current.copies.at()
	return at != nil && !s.tried[at.Start] && s.e.opts.Directory.Usable(at, time.Now())
}

// reserveRetry takes the next sending out of the retry budget, unless what was taken
// for the last one is still unused: a server that has ended takes no connection,
// so nobody there got a retry. In a mass loss the streams find many such servers.
func (s *stream) reserveRetry(ctx context.Context) bool {
	if !s.reserved {
		s.reserved = s.awaitBudget(ctx)
	}
	return s.reserved
}

// awaitBudget takes one more sending out of the budget. In a mass loss the part
// that a process may take before the others know of it is spent within moments
// and free again a moment later: a stream that ended then was lost for a fifth
// of a second's wait, less than the pause that its caller allows.
func (s *stream) awaitBudget(ctx context.Context) bool {
	giveUp := time.Now().Add(budgetWait)
	for !s.e.allowRetry(s.req.Service) {
		if time.Now().After(giveUp) || retry.Wait(ctx, pickAgain) != nil {
			return false
		}
	}
	return true
}

// budgetWait is how long a stream waits for the retry budget.
const budgetWait = time.Second

// pickAgain is how often a stream without a server looks for one.
const pickAgain = 50 * time.Millisecond

func (s *stream) pick() *directory.Server {
	return s.e.opts.Directory.Pick(directory.Query{
		Service: s.req.Service, Zone: s.e.opts.Zone, Exclude: s.tried, Prompt: s.req.PromptTokens, AvoidZone: s.lostZone,
		AfterDisruption: s.arrivals > 0 || s.quiet, CachedTokens: s.kept, Resumable: s.req.Route.Resumable,
	}, time.Now())
}

// failure is the outcome of a stream that can't go on.
func (s *stream) failure(ctx context.Context, err error) error {
	if ctx.Err() != nil && !timedOut(ctx) {
		return s.req.endOf(ctx)
	}
	by := s.req.failedBy(err)
	if s.cause != nil && !errors.Is(err, s.cause) {
		err = errors.Wrap(err, s.cause.Error())
	}
	if ctx.Err() != nil {
		return &Failure{By: s.req.endOf(ctx).By, Ran: s.sent || s.ran > 0, TimedOut: true, RetryAfter: retryAfter, Err: errors.Wrap(ErrTimeout, err.Error())}
	}
	after := retryAfter
	var late *LateError
	if errors.As(err, &late) {
		after = late.retryAfter()
	}
	return &Failure{By: by, Ran: s.ran > 0, TimedOut: errors.Is(err, ErrNoTime), RetryAfter: after, Err: err}
}
