package exchange

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// silenceTimeout is how long a server may show no proof of life before an attempt there
// is ended although no other server takes the stream over. It must exceed the delay
// that a saturated link of this VM adds to responses, and leave the caller time to come
// back.
const silenceTimeout = 5 * time.Second

// errRequestEnded: the request ended while its attempt was in progress.
var errRequestEnded = errors.New("exchange: the request ended before its answer")

// relay forwards what the current attempt's server sends until the stream is complete
// (nil) or the attempt is over. While that server is silent, another one is asked to
// take the stream over.
//
// Silence alone ends nothing, since a server that pauses for other prompts is as silent
// as a lost one. An attempt continues until a takeover attempt has delivered an event
// in its place, its connection breaks, or its server has shown no proof of life for
// silenceTimeout.
//
// Invariant: events reach the caller from the current attempt alone, and an attempt
// that becomes the current one continues after the caller's last event.
func (s *stream) relay(ctx context.Context) error {
	defer s.abandonNext()
	defer func() { s.current.end() }()
	for {
		select {
		case st := <-s.current.steps:
			done, err := s.handleCurrent(ctx, st)
			if done || err != nil {
				return err
			}
		case st := <-stepsOf(s.next):
			done, err := s.handleNext(ctx, st)
			if done || err != nil {
				return err
			}
		case alert := <-s.current.watch.alerts:
			if err := s.onSilence(ctx, alert); err != nil {
				return err
			}
		case <-s.retryAvailable:
			s.tryTakeover(ctx)
		case <-s.quarantined:
			s.quarantined = nil
			if err := s.onQuarantine(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return &BrokenError{Err: errRequestEnded}
		}
	}
}

// stepsOf returns the attempt's steps; a nil channel without an attempt.
func stepsOf(a *streamAttempt) <-chan step {
	if a == nil {
		return nil
	}
	return a.steps
}

// rethrow continues a panic of the goroutine that read the step.
func (st step) rethrow() {
	if st.panicked != nil {
		panic(st.panicked)
	}
}

// handleCurrent processes a step of the current attempt. If that attempt is over, the
// takeover attempt, if there is one, replaces it.
func (s *stream) handleCurrent(ctx context.Context, st step) (done bool, err error) {
	st.rethrow()
	if isEvent := st.err == nil && st.reply == nil; isEvent {
		s.currentResumed()
	}
	done, err = s.handleStep(ctx, st)
	var final *finalError
	if err == nil || s.next == nil || errors.As(err, &final) || ctx.Err() != nil {
		return done && err == nil, err
	}
	s.promote(err)
	return false, nil
}

// handleNext processes a step of the takeover attempt.
func (s *stream) handleNext(ctx context.Context, st step) (done bool, err error) {
	st.rethrow()
	if err := s.checkTakeover(st); err != nil {
		next := s.dropNext(takeoverFailed)
		s.handleFailure(next, err)
		s.tryTakeover(ctx)
		return false, nil
	}
	s.promote(&BrokenError{Err: s.current.watch.silenceError()})
	return s.handleStep(ctx, st)
}

// checkTakeover returns why the stream can't continue with what the takeover attempt
// has sent; nil if it can. A server that starts over, or ends without an event, must
// not replace one that is working.
func (s *stream) checkTakeover(st step) error {
	switch {
	case st.err == io.EOF:
		return &BrokenError{Err: ErrCut}
	case st.err != nil:
		return st.err
	case st.reply != nil && (s.headSent || st.reply.Status >= 500):
		return &BrokenError{Err: errors.Errorf("the server answered %d", st.reply.Status)}
	case st.reply == nil:
		return s.checkOrder(st.event)
	}
	return nil
}

// promote makes the takeover attempt the current one. why is recorded as the failure of
// the former one.
func (s *stream) promote(why error) {
	s.current.end()
	go s.e.logTakeover(s.req, s.current, s.next, takeoverPromoted, time.Now())
	s.handleFailure(s.current, why)
	s.current.copies.close()
	s.current, s.next, s.isSilent, s.noTakeoverReason = s.next, nil, false, ""
	s.active.server.Store(s.current.server)
}

// currentResumed is called when the current attempt delivers an event: a takeover is
// not needed.
func (s *stream) currentResumed() {
	if !s.isSilent {
		return
	}
	s.isSilent, s.noTakeoverReason = false, ""
	delete(s.tried, s.current.server.Start)
	s.e.opts.Recorder.Emit(EventWentOn, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
		"reached", s.lastEvent, "after", time.Since(s.silentSince()), "beside", s.next.serverName())
	s.abandonNext()
}

func (a *streamAttempt) serverName() string {
	if a == nil {
		return ""
	}
	return a.server.String()
}

func (a *streamAttempt) softwareVersion() string {
	if a == nil {
		return ""
	}
	return a.server.Version()
}

// abandonNext ends the takeover attempt, if there is one, since it is no longer needed.
// It counts as a retry, since its server may have started to run the stream.
func (s *stream) abandonNext() {
	if s.next == nil {
		return
	}
	s.dropNext(takeoverDropped)
	s.abandoned++
	s.countDelivered()
}

// dropNext ends the takeover attempt and releases the copy that it resumed from. The
// current attempt gets another copy.
func (s *stream) dropNext(outcome string) *streamAttempt {
	next := s.next
	s.next = nil
	next.end()
	go s.e.logTakeover(s.req, s.current, next, outcome, time.Now())
	next.run.end()
	next.copies.close()
	if next.from != nil {
		next.copies.release(next.from)
		s.current.copyState.Store(copyUsedUp)
	}
	return next
}

// Outcomes of a takeover, in log lines.
const (
	takeoverPromoted = "promoted"
	takeoverDropped  = "dropped"
	takeoverFailed   = "failed" // it was refused, or broke before its first event
)

// logTakeover logs the outcome of a takeover, decided at endedAt, once the connection of the
// attempt that was ended is closed.
func (e *Exchange) logTakeover(req *Request, former, next *streamAttempt, outcome string, endedAt time.Time) {
	ended := former
	if outcome != takeoverPromoted {
		ended = next
	}
	<-ended.closed
	e.opts.Recorder.Emit(EventTakeover, event.FieldRequest, req.ID, "former", former.server.Start, "server", next.server.Start, "copy", next.from != nil,
		"outcome", outcome, "both", endedAt.Sub(next.sentAt), "closed", time.Since(endedAt))
}

// onSilence handles an alert that the current attempt's server sends nothing.
func (s *stream) onSilence(ctx context.Context, alert silenceAlert) error {
	if !s.current.watch.isWaiting() {
		return nil // an event has arrived meanwhile
	}
	if !s.isSilent {
		s.isSilent = true
		s.e.opts.Recorder.Emit(EventSilent, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
			"reached", s.lastEvent, "silent", time.Since(s.silentSince()), "alive", alert.alive, "ahead", s.current.server.QueuedTokens(), "copy", serverName(s.current.copies.holder()))
	}
	s.tryTakeover(ctx)
	if s.next == nil && alert.sinceProof > s.silenceLimit() {
		return &BrokenError{Err: s.current.watch.silenceError()}
	}
	return nil
}

// silenceLimit is how long a server may show no proof of life while no other server
// takes the stream over. It is short if the caller has received nothing and another
// server may run the stream: a failure loses nothing that the caller has, and lets it
// come back sooner. If no other server may run the stream, the server is given the full
// time, since it may be working while only its probe answers are lost.
func (s *stream) silenceLimit() time.Duration {
	if s.headSent || !s.mayTakeOver() {
		return silenceTimeout
	}
	return budgetWait
}

// tryTakeover starts a takeover attempt if a server is found for it.
//
// If the budget is spent it tries again a moment later: in a mass loss a process's
// share is spent at once and available again soon after.
func (s *stream) tryTakeover(ctx context.Context) {
	s.retryAvailable = nil
	if !s.isSilent || s.next != nil || !s.mayTakeOver() {
		return
	}
	server, from, err := s.chooseTakeover()
	if server != nil {
		run := s.e.beginRun(s.active.fingerprint, server)
		if run != nil {
			s.next = s.launch(ctx, server, from, run)
			return
		}
		err = ErrHeld
		if from != nil {
			s.current.copies.release(from)
		}
	}
	s.logNoTakeover(err)
	if errors.Is(err, ErrBudget) && time.Since(s.silentSince()) < budgetWait {
		s.retryAvailable = time.After(pickInterval)
	}
}

// logNoTakeover logs why no other server takes over a silent stream. A reason is logged
// again only after another one, since a takeover may be tried every 50 ms (pickInterval).
func (s *stream) logNoTakeover(why error) {
	reason := why.Error()
	var late *LateError
	if errors.As(why, &late) {
		reason = "late" // its text contains figures that change
	}
	if s.noTakeoverReason == reason {
		return
	}
	s.noTakeoverReason = reason
	s.e.opts.Recorder.Emit(EventNotOffered, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
		"reached", s.lastEvent, "silent", time.Since(s.silentSince()), "err", why)
}

// mayTakeOver reports whether one more server may run the stream beside the current
// one.
func (s *stream) mayTakeOver() bool {
	return s.req.Route.Resumable && s.ran+s.abandoned+1 < s.req.Route.Attempts() && s.takeoversRefused < 2*maxNotRunTries && !s.isQuarantined()
}

// errCurrentSooner: the silent server is alive, and another one would not read the
// prompt sooner.
var errCurrentSooner = errors.New("exchange: the silent server is alive and expected to resume before another one could")

// chooseTakeover returns the server that is to take over the stream of a silent server,
// and the copy to resume from; nil and the reason, if there is none now.
func (s *stream) chooseTakeover() (*directory.Server, *KVCopy, error) {
	if !s.req.hasTime(time.Now()) {
		return nil, nil, ErrNoTime
	}
	s.tried[s.current.server.Start] = true
	if !s.current.watch.alive() {
		s.lostZone = s.current.server.Zone
	}
	if s.current.gotEvent && s.hasCopy() { // the KV cache is copied once there is an event
		if !s.tryReserveRetry() {
			return nil, nil, ErrBudget
		}
		if !s.e.takeLimit(s.current.copies.holder()) {
			return nil, nil, ErrServerLimits
		}
		s.current.copyState.Store(copyTaken)
		c := s.current.copies.take()
		return c.Server, c, nil
	}
	server, err := s.pickInTime()
	switch {
	case err != nil:
		return nil, nil, err
	case server == nil:
		return nil, nil, s.noServer()
	case !s.worthRereading(server):
		return nil, nil, errCurrentSooner
	}
	if !s.tryReserveRetry() {
		return nil, nil, ErrBudget
	}
	if !s.e.takeLimit(server) {
		s.tried[server.Start] = true
		return nil, nil, ErrServerLimits
	}
	return server, nil, nil
}

// worthRereading reports whether the prompt should be read again on another server
// while the current one may still resume. A server that is alive resumes in the end:
// the prompt would be read twice, and delay the other server's streams, for a response
// that is late either way. It is worthwhile if the other server is expected to send an
// event before the caller's allowed pause is over, or once the silence is longer than
// that of any healthy server.
func (s *stream) worthRereading(server *directory.Server) bool {
	silence := time.Since(s.silentSince())
	if !s.current.watch.alive() || !s.current.gotEvent || silence >= maxSilence {
		return true
	}
	est, measured := s.estimate(server, time.Now())
	gap := s.req.Route.MaxGap
	return !measured || gap <= 0 || silence+est.first <= gap
}

// tryReserveRetry is reserveRetry without waiting: the current attempt may resume any
// moment.
func (s *stream) tryReserveRetry() bool {
	if !s.retryReserved {
		s.retryReserved = s.e.allowRetry(s.req.Service)
	}
	return s.retryReserved
}
