package exchange

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/rollout"
)

// stream is a streaming request in progress.
type stream struct {
	e    *Exchange
	req  *Request
	sink Sink

	headSent      bool   // the response head has been sent
	status        int    // of a response that is not a stream
	lastEvent     uint64 // id of the newest event that the caller has
	lastEventAt   time.Time
	firstEventAt  time.Time
	longestPause  time.Duration
	tried         map[directory.Start]bool // servers that are not asked: they refused, broke off or are silent
	delivered     int                      // attempts that reached a server
	retryReserved bool                     // a retry was taken from the budget for the next attempt
	ran           int                      // attempts that may have run
	refused       int                      // attempts that provably did not run, successors included
	// refusedSinceEvent counts those of them since the caller's last event that were not
	// successors.
	refusedSinceEvent int
	// successorsRefused counts the successors that refused since the caller's last event.
	// They limit further handovers only, not the attempts after the current one has failed.
	successorsRefused int
	resumed           int                     // attempts that resumed the stream of an earlier one
	lastErr           error                   // of the last attempt that failed; nil: none
	lostZone          string                  // zone of the last server that broke off or is probably lost; empty: none
	cachedTokens      map[directory.Start]int // tokens of the prompt that servers have cached
	spread            float64                 // from 0 to 1, at random; see admission.Offer

	versions *rollout.Assignment // versions of servers that may run it
	begunBy  *directory.Server   // server that sent the first event of this answer; nil: none has
	// origin is the version that began the stream of a caller that came back; nil: the caller
	// has no event yet, or names no attempt.
	origin *string

	current          *streamAttempt   // attempt whose events go to the caller; nil before the first
	successor        *streamAttempt   // attempt that is to replace a silent current one, and may still be refused; nil: none
	acceptanceDue    <-chan time.Time // fires when successor counts as accepted; nil without one
	silence          *SilentError     // why the successor was asked
	isSilent         bool             // current sends nothing, and that has been logged
	noHandoverReason string           // why the stream stays at a silent server, as last logged
	// retryAvailable fires when a handover is to be tried again after the retry budget was
	// spent; nil: it is not to be.
	retryAvailable <-chan time.Time
	inProgress     bool          // current is in progress and may be running
	active         *activeStream // its entry in Exchange.active
	memory         *memoryNeed   // nil: its memory at servers isn't accounted
	lacksMemory    bool          // the last choice found no server with enough memory
	heldForMemory  bool          // that has happened
	// quarantined fires when the request is quarantined while it is in progress; nil once
	// that has been handled.
	quarantined <-chan struct{}
}

// Stream serves a streaming request into sink. begun reports whether the response head
// has been sent. The error is a *Failure, or an *End if the caller can't be answered. A
// *Failure can be sent to the caller if begun is false; otherwise the response must be
// cut off.
func (e *Exchange) Stream(ctx context.Context, req *Request, sink Sink) (begun bool, err error) {
	if f := e.admit(req); f != nil {
		return false, f
	}
	within, cancel := req.withDeadline(ctx)
	defer cancel()
	s := e.newStream(req, sink)
	defer e.active.remove(s.active)
	defer s.endRuns()
	defer s.closeCopies()
	err = s.run(within)
	s.versions.Release()
	if s.current != nil {
		s.current.copies.finish(err == nil)
	}
	if err == nil {
		e.opts.Suspects.RecordCompletion(req.Fingerprint())
		e.metrics.longestPause.Observe(s.longestPause.Seconds())
	}
	e.conclude(req, s.status, err, s.summary)
	return s.headSent, err
}

func (e *Exchange) newStream(req *Request, sink Sink) *stream {
	s := &stream{e: e, req: req, sink: sink, tried: map[directory.Start]bool{}, active: e.active.add(req.ID, req.Fingerprint())}
	s.quarantined, s.spread = s.active.quarantined, rand.Float64()
	s.memory = e.memoryNeed(req)
	s.versions = e.opts.Rollouts.Assign(req.Service, req.ID, req.LastEvent == "")
	s.lastEvent, _ = strconv.ParseUint(req.LastEvent, 10, 64)
	return s
}

func (s *stream) summary() []any {
	first := time.Duration(0)
	if !s.firstEventAt.IsZero() {
		first = s.firstEventAt.Sub(s.req.Arrived)
	}
	return []any{"first", first, "pause", s.longestPause, "reached", s.lastEvent, "ran", s.ran, "refused", s.refused,
		"resumed", s.resumed, "begun", s.headSent, "server", s.current.serverName(), "software", s.current.softwareVersion(), "last", s.lastErr}
}

func (s *stream) run(ctx context.Context) error {
	if err := s.findOrigin(ctx); err != nil {
		return s.failure(ctx, err)
	}
	s.locatePrompt(ctx)
	for {
		server, from, run, err := s.nextRun(ctx)
		if err != nil {
			return s.failure(ctx, err)
		}
		s.current, s.isSilent, s.inProgress = s.launch(ctx, server, from, run), false, true
		s.active.server.Store(server)
		err = s.relay(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return s.failure(ctx, err)
		}
		var done *finalError
		if errors.As(err, &done) {
			return s.finalOutcome(ctx, done.err)
		}
		s.inProgress = false
		s.handleFailure(s.current, err)
		if !s.mayRetry() {
			return s.failure(ctx, err)
		}
	}
}

// finalError ends a stream: no further attempt is made.
type finalError struct{ err error }

// finalOutcome returns the outcome of a stream that a finalError ended: the failure that
// it holds, or else that the response could not be written to the caller.
func (s *stream) finalOutcome(ctx context.Context, err error) error {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return s.req.writeFailed(ctx, err)
}

func (f *finalError) Error() string { return f.err.Error() }

// handleFailure updates the stream and the state of the server after a failed attempt.
func (s *stream) handleFailure(a *streamAttempt, err error) {
	s.lastErr = err
	var notRun *NotRunError
	s.versions.Observe(s.req.Route.Name, a.server, brokenObservation(a.server, err))
	if errors.As(err, &notRun) {
		// An attempt that did not run has left no copy, and has not used the one that it had.
		a.copies.drop()
		a.releaseSource()
		a.run.end()
		s.refused++
		if a == s.current {
			s.refusedSinceEvent++
		} else {
			s.successorsRefused++
		}
		s.e.metrics.attempts.WithLabelValues(string(notRun.Reason)).Inc()
		if notRun.Unreached() {
			s.retryReserved = s.retryReserved || a.isRetry // no server got it
		} else {
			s.delivered++
		}
		if a.from != nil && notRun.Reason == Busy {
			// The server did not have the copy, or no room for it: it may still be
			// tried without one.
			s.logRetry(a, err)
			return
		}
	} else {
		s.ran++
		s.delivered++
		if !isAlive(err) {
			s.lostZone = a.server.Zone
		}
		if !a.gotEvent {
			// The KV cache is copied once there is an event. A server that is asked to
			// resume from an earlier copy refuses, which costs a retry of the budget.
			a.copies.drop()
		}
		s.e.checkBroken(s.req, a.server, a.run, err, a.gotEvent)
		a.run = nil
		s.e.metrics.attempts.WithLabelValues("broken").Inc()
	}
	s.tried[a.server.Start] = true
	s.e.recordFailure(a.server, err)
	s.logRetry(a, err)
}

// logRetry logs that an attempt failed and another may follow.
func (s *stream) logRetry(a *streamAttempt, err error) {
	s.e.opts.Recorder.Emit(EventAgain, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "after", a.server.Start,
		"software", a.server.Version(), "reached", s.lastEvent, "err", err, "since", time.Since(s.req.Arrived), "copy", serverName(a.copies.holder()))
}

func serverName(s *directory.Server) string {
	if s == nil {
		return ""
	}
	return s.String()
}

// mayRetry reports whether one more attempt is allowed.
func (s *stream) mayRetry() bool {
	if s.ran >= s.req.Route.Attempts() || (s.refusedSinceEvent >= 2*maxNotRunTries && !s.mayAwaitRest()) {
		return false
	}
	if s.ran > 0 && !s.req.Route.Resumable {
		return false
	}
	return true
}

// endRuns ends the runs of the attempts that are not over.
func (s *stream) endRuns() {
	for _, a := range []*streamAttempt{s.current, s.successor} {
		if a != nil {
			a.run.end()
		}
	}
}

// nextRun begins the run of the next attempt: it returns its server, and the copy of the
// KV cache to resume from, if there is one.
func (s *stream) nextRun(ctx context.Context) (*directory.Server, *KVCopy, *trackedRun, error) {
	for range maxNotRunTries {
		server, from, err := s.chooseServer(ctx)
		s.logReturnPlaced(server, err)
		if err != nil {
			s.e.releaseTurn(s.active.fingerprint)
			return nil, nil, nil, err
		}
		if run := s.e.beginRun(s.active.fingerprint, server); run != nil {
			return server, from, run, nil
		}
		s.tried[server.Start] = true
		if from != nil {
			s.current.copies.release(from)
		}
	}
	s.e.releaseTurn(s.active.fingerprint)
	return nil, nil, nil, ErrHeld
}

// chooseServer returns the server for the next attempt: the one that holds a copy of
// the stream's KV cache, with that copy, or else the one that is expected to start
// soonest. If there is none, it waits for one.
func (s *stream) chooseServer(ctx context.Context) (*directory.Server, *KVCopy, error) {
	if !s.req.hasTime(time.Now()) {
		return nil, nil, ErrNoTime
	}
	if s.memory.tooLarge() {
		return nil, nil, errTooLarge
	}
	if s.isExcluded() {
		return nil, nil, ErrVersionExcluded
	}
	if err := s.awaitAdmission(ctx); err != nil {
		return nil, nil, err
	}
	if s.delivered > 0 && !s.hasCopy() {
		// A retry that would be late must not cost any budget.
		if _, err := s.pickInTime(); err != nil {
			return nil, nil, err
		}
	}
	if s.delivered > 0 && !s.reserveRetry(ctx) {
		return nil, nil, ErrBudget
	}
	if s.isQuarantined() {
		return nil, nil, ErrQuarantined
	}
	if err := s.e.awaitTurn(ctx, s.active.fingerprint); err != nil {
		return nil, nil, err
	}
	if s.hasCopy() && s.e.takeLimit(s.current.copies.holder()) {
		c := s.current.copies.take()
		return c.Server, c, nil
	}
	if s.current != nil {
		s.current.copies.close()
	}
	giveUp := time.Now().Add(s.waitForServer())
	for {
		server, err := s.pickWithinLimit()
		if server != nil || err != nil {
			return server, nil, err
		}
		if !s.hasVersion() {
			s.e.metrics.versionGone.Inc()
			return nil, nil, ErrVersionGone
		}
		if s.isExcluded() {
			return nil, nil, ErrVersionExcluded
		}
		if end, rest := s.allRestUntil(); rest {
			if !s.req.canWaitUntil(end) {
				return nil, nil, ErrServersRest
			}
			giveUp = later(giveUp, end.Add(afterRestWait))
		}
		if time.Now().After(giveUp) {
			return nil, nil, s.noServer()
		}
		if err := retry.Wait(ctx, pickInterval); err != nil {
			return nil, nil, err
		}
		if s.isQuarantined() {
			return nil, nil, ErrQuarantined
		}
		clear(s.tried) // a server that refused may have room by now
	}
}

// pickWithinLimit is pickInTime among the servers whose rate limits leave room.
func (s *stream) pickWithinLimit() (*directory.Server, error) {
	return s.e.pickWithinLimit(s.pickInTime, func(server *directory.Server) { s.tried[server.Start] = true })
}

// hasCopy reports whether there is a copy of the stream's KV cache to resume from.
func (s *stream) hasCopy() bool {
	if s.current == nil {
		return false
	}
	at := s.current.copies.holder()
	return at != nil && !s.tried[at.Start] && s.e.opts.Directory.Usable(at, time.Now()) && !at.Resting(time.Now()) && s.maySend(at)
}

// reserveRetry takes the next attempt out of the retry budget, unless the last attempt
// reached no server: a server that has ended refuses the connection, so no server got
// that retry. In a mass loss the streams try many such servers.
func (s *stream) reserveRetry(ctx context.Context) bool {
	if !s.retryReserved {
		s.retryReserved = s.awaitBudget(ctx)
	}
	return s.retryReserved
}

// awaitBudget takes a retry out of the budget, waiting for it if necessary. In a mass
// loss the share that a process may take before the others know of it is spent within
// moments and available again about 200 ms later, which is less than the pause that
// callers allow. Without the wait, streams were cut off for lack of budget.
func (s *stream) awaitBudget(ctx context.Context) bool {
	giveUp := time.Now().Add(budgetWait)
	for !s.e.allowRetry(s.req.Service) {
		if time.Now().After(giveUp) || retry.Wait(ctx, pickInterval) != nil {
			return false
		}
	}
	return true
}

// budgetWait is how long a stream waits for the retry budget. A silent stream without a
// response head waits as long for another server; see silenceLimit.
const budgetWait = time.Second

// pickInterval is how often a stream looks for a server while there is none, and asks for
// the retry budget while that is spent.
const pickInterval = 50 * time.Millisecond

// pick returns the server that is expected to start soonest on the stream; nil: there is
// none.
func (s *stream) pick() *directory.Server {
	q := directory.Query{
		Service: s.req.Service, Zone: s.e.opts.Zone, Exclude: s.tried, Prompt: s.req.PromptTokens, AvoidZone: s.lostZone,
		AfterDisruption: s.delivered > 0 || s.isSilent, CachedTokens: s.cachedTokens, Resumable: s.req.Route.Resumable,
	}
	server := s.pickFor(s.withMemory(q))
	s.recordPick(server, func() *directory.Server { return s.pickFor(q) })
	return server
}
