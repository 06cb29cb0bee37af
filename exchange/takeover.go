package exchange

import (
	"context"
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
// (nil) or the attempt is over. If that server is silent for too long, the stream is
// handed over to another one.
//
// Silence alone ends nothing, since a server that pauses for other prompts is as silent
// as a lost one. An attempt continues until another server has accepted the stream, its
// connection breaks, or its server has shown no proof of life for silenceTimeout.
//
// Invariant: events reach the caller from the current attempt alone, and an attempt
// that becomes the current one continues after the caller's last event. For two attempts
// at a time see handover.go.
func (s *stream) relay(ctx context.Context) error {
	defer func() { s.current.close() }()
	defer s.dropSuccessor()
	for {
		select {
		case st := <-s.currentSteps():
			st.rethrow()
			done, err := s.handleStep(ctx, st)
			if done || err != nil {
				return err
			}
		case st := <-s.successorSteps():
			done, err := s.handleSuccessor(ctx, st)
			if done || err != nil {
				return err
			}
		case <-s.successorSent():
			s.awaitAcceptance()
		case <-s.acceptanceDue:
			done, err := s.onAcceptanceDue(ctx)
			if done || err != nil {
				return err
			}
		case alert := <-s.current.watch.alerts:
			if err := s.onSilence(ctx, alert); err != nil {
				return err
			}
		case <-s.retryAvailable:
			s.tryHandover(ctx)
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

// rethrow continues a panic of the goroutine that read the step.
func (st step) rethrow() {
	if st.panicked != nil {
		panic(st.panicked)
	}
}

// serverResumed is called when the current attempt delivers an event.
func (s *stream) serverResumed() {
	if !s.isSilent {
		return
	}
	s.isSilent, s.noHandoverReason = false, ""
	delete(s.tried, s.current.server.Start)
	s.e.opts.Recorder.Emit(EventWentOn, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
		"reached", s.lastEvent, "after", time.Since(s.silentSince()))
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

// onSilence handles an alert that the current attempt's server sends nothing.
func (s *stream) onSilence(ctx context.Context, alert silenceAlert) error {
	if s.successor != nil || !s.current.watch.isWaiting() {
		return nil // another server is asked already, or an event has arrived meanwhile
	}
	if !s.isSilent {
		s.isSilent = true
		s.e.opts.Recorder.Emit(EventSilent, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
			"reached", s.lastEvent, "silent", time.Since(s.silentSince()), "alive", alert.alive, "ahead", s.current.server.QueuedTokens(), "copy", serverName(s.current.copies.holder()))
	}
	s.tryHandover(ctx)
	if s.successor == nil && alert.sinceProof > s.silenceLimit() {
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
	if s.headSent || !s.mayHandOver() {
		return silenceTimeout
	}
	return budgetWait
}

// tryHandover asks another server to continue the stream of a silent one, if one is found.
//
// If the budget is spent it tries again a moment later: in a mass loss a process's
// share is spent at once and available again soon after.
func (s *stream) tryHandover(ctx context.Context) {
	s.retryAvailable = nil
	resumed := !s.current.watch.isWaiting() // with an event that was held back for a successor
	if !s.isSilent || resumed || s.successor != nil || !s.mayHandOver() {
		return
	}
	server, from, err := s.chooseSuccessor()
	if server != nil {
		run := s.e.beginRun(s.active.fingerprint, server)
		if run != nil {
			s.askSuccessor(ctx, server, from, run)
			return
		}
		err = ErrHeld
		if from != nil {
			s.current.copies.release(from)
		}
	}
	s.logNoHandover(err)
	if errors.Is(err, ErrBudget) && time.Since(s.silentSince()) < budgetWait {
		s.retryAvailable = time.After(pickInterval)
	}
}

// logNoHandover logs why a silent stream stays where it is. A reason is logged
// again only after another one, since a handover may be tried every 50 ms (pickInterval).
func (s *stream) logNoHandover(why error) {
	reason := why.Error()
	var late *LateError
	if errors.As(why, &late) {
		reason = "late" // its text contains figures that change
	}
	if s.noHandoverReason == reason {
		return
	}
	s.noHandoverReason = reason
	s.e.opts.Recorder.Emit(EventNotOffered, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
		"reached", s.lastEvent, "silent", time.Since(s.silentSince()), "err", why)
}

// mayHandOver reports whether one more server may run the stream.
func (s *stream) mayHandOver() bool {
	return s.req.Route.Resumable && s.ran+1 < s.req.Route.Attempts() && s.successorsRefused < 2*maxNotRunTries && !s.isQuarantined()
}

// Reasons for which a stream stays at a silent server.
var (
	errCurrentSooner = errors.New("exchange: the silent server is alive and expected to resume before another one could")
	errNotConfirmed  = errors.New("exchange: the silent server has not answered a probe, and its loss is not confirmed yet")
)

// chooseSuccessor returns the server that is to continue the stream of a silent server,
// and the copy to resume from; nil and the reason, if there is none now.
func (s *stream) chooseSuccessor() (*directory.Server, *KVCopy, error) {
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
	}
	if err := s.reasonToStay(server); err != nil {
		return nil, nil, err
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

// reasonToStay returns why the stream should stay at its silent server rather than have its
// prompt read again on another one; nil if it should not.
//
// A server that is alive resumes in the end: the prompt would be read in vain, and delay the
// other server's streams. It is left if the other one is expected to send an event before
// the pause that the caller allows is over, or after silenceTimeout. One that does not answer
// is left once that is confirmed.
func (s *stream) reasonToStay(server *directory.Server) error {
	if !s.current.watch.alive() {
		return s.checkLoss()
	}
	silence := time.Since(s.silentSince())
	est, measured := s.estimate(server, time.Now())
	gap := s.req.Route.MaxGap
	inTime := s.current.gotEvent && measured && silence+est.first <= gap
	if inTime || silence >= silenceTimeout {
		return nil
	}
	return errCurrentSooner
}

// checkLoss returns errNotConfirmed unless the current server, which has not answered a probe,
// is lost for the purpose of reading the prompt again. That takes longer while it reads the
// prompt of a stream that its caller has a part of: if only the answers to probes are lost, one
// server after the other would be given up while it reads, and the answer be cut off.
func (s *stream) checkLoss() error {
	confirmed, sinceProof := s.current.watch.lossConfirmed()
	readsAgain := s.headSent && !s.current.gotEvent && s.current.from == nil
	if confirmed && (!readsAgain || sinceProof >= silenceTimeout) {
		return nil
	}
	return errNotConfirmed
}

// tryReserveRetry is reserveRetry without waiting: the current attempt may resume any
// moment.
func (s *stream) tryReserveRetry() bool {
	if !s.retryReserved {
		s.retryReserved = s.e.allowRetry(s.req.Service)
	}
	return s.retryReserved
}
