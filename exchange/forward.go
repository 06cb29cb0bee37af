package exchange

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/rollout"
)

// resumeAfter returns the id of the event after which the next attempt resumes; empty:
// it starts from the beginning.
func (s *stream) resumeAfter() string {
	if s.lastEvent == 0 {
		return s.req.LastEvent
	}
	return strconv.FormatUint(s.lastEvent, 10)
}

// handleStep processes a step of the current attempt. It reports whether the stream is
// complete; an error ends the attempt.
func (s *stream) handleStep(ctx context.Context, st step) (done bool, err error) {
	switch {
	case st.err == io.EOF && s.isEmpty(st.answer):
		return false, &BrokenError{Err: ErrCut}
	case st.err == io.EOF:
		s.ran++
		s.versions.Observe(s.req.Route.Name, s.current.server, rollout.Observation{Ended: true})
		s.e.metrics.attempts.WithLabelValues("answered").Inc()
		s.e.paceFor(s.req.Service).observeLength(s.lastEvent, s.req.MaxTokens)
		s.recordLength()
		return true, s.sendHead(st.answer)
	case st.err != nil:
		return false, st.err
	case st.reply != nil:
		return true, s.forwardReply(st.reply)
	}
	a := s.current
	s.serverResumed()
	s.observeEvent(a)
	s.growMemory(a)
	if !a.gotEvent {
		a.gotEvent = true
		if s.begunBy == nil {
			s.begunBy = a.server
			s.recordOrigin(a.server)
		}
		s.promptRead(a)
		s.logResumed(a)
		go s.maintainCopy(a.watch.ctx, a, s.excludedFor(a.server))
	}
	return false, s.forwardEvent(st.answer, st.event)
}

// isEmpty reports whether a stream has ended without an event. An answer without a length
// ends with its connection, and looks like this if its server is lost after the head. The rest
// of a stream may be empty, but not where it was taken from a silent server.
func (s *stream) isEmpty(a *Answer) bool {
	return a.Status == http.StatusOK && !s.current.gotEvent && (s.resumeAfter() == "" || s.current.tookOver)
}

// forwardReply handles a response that is not a stream.
func (s *stream) forwardReply(reply *Reply) error {
	if s.headSent {
		return &BrokenError{Err: errors.Errorf("the server answered %d to a resume", reply.Status)}
	}
	retry := reply.Status >= 500 && s.ran+1 < s.req.Route.Attempts() && s.req.Route.Resumable
	if retry {
		return &BrokenError{Err: errors.Errorf("the server answered %d", reply.Status)}
	}
	s.ran++
	s.versions.Observe(s.req.Route.Name, s.current.server, rollout.Observation{Ended: true, Failed: reply.Status >= 500})
	s.headSent, s.status = true, reply.Status
	if err := s.sink.Begin(reply.Status, reply.Header); err != nil {
		return &finalError{err}
	}
	if err := s.sink.Event(reply.Body); err != nil {
		return &finalError{err}
	}
	reply.Body = nil // not held while the rest follows, which may be without end
	return s.forwardRest(reply.Rest)
}

// forwardRest forwards what follows the buffered part of a response that is too large
// to be held in memory. An error while reading it ends the stream, since its caller
// already has a part: a truncated response must not look complete.
func (s *stream) forwardRest(rest Body) error {
	if rest == nil {
		return nil
	}
	buf := make([]byte, restBufferSize)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if err := s.sink.Event(buf[:n]); err != nil {
				return &finalError{err}
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return &finalError{&Failure{By: failedBy(err), Ran: true, Err: &BrokenError{Err: err}}}
		}
	}
}

// restBufferSize is the size of the buffer of forwardRest, in bytes.
const restBufferSize = 32 << 10

// promptRead removes the prompt from the server's load. The time that it took measures
// the server's speed, unless the server may have had a part of the prompt cached.
func (s *stream) promptRead(a *streamAttempt) {
	if s.ran > 0 || s.req.LastEvent != "" || s.cachedTokens[a.server.Start] > 0 {
		a.load.CachedPromptPrefilled()
		return
	}
	a.load.PromptPrefilled()
	s.e.paceFor(s.req.Service).observeFirst(a.expectedFirst, time.Since(a.sentAt))
}

// logResumed records the first event of an attempt that resumes the stream.
func (s *stream) logResumed(a *streamAttempt) {
	if s.ran == 0 {
		return
	}
	s.resumed++
	how := "prompt_read_again"
	if a.from != nil {
		how = "copy"
	}
	since := s.silentSince()
	s.e.metrics.resumes.WithLabelValues(how).Inc()
	s.e.metrics.resumeTime.Observe(time.Since(since).Seconds())
	s.e.opts.Recorder.Emit(EventResumed, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", a.server.Start,
		"software", a.server.Version(), "reached", s.lastEvent, "how", how, "after", time.Since(since))
}

// silentSince returns when the caller last got an event; if it got none, when its request
// arrived.
func (s *stream) silentSince() time.Time {
	if s.lastEventAt.IsZero() {
		return s.req.Arrived
	}
	return s.lastEventAt
}

// forwardEvent sends one event to the caller. Events must follow each other without a
// gap: after a resume a server may start over or continue at the wrong place.
func (s *stream) forwardEvent(a *Answer, ev streamEvent) error {
	if err := s.checkOrder(ev); err != nil {
		return err
	}
	if err := s.sendHead(a); err != nil {
		return err
	}
	if err := s.sink.Event(ev.raw); err != nil {
		return &finalError{err}
	}
	now := time.Now()
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
		s.e.metrics.firstEvent.Observe(now.Sub(s.req.Arrived).Seconds())
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.refusedSinceEvent, s.successorsRefused = 0, 0
	if ev.id != 0 {
		s.lastEvent = ev.id
		s.e.paceFor(s.req.Service).observeProgress(s.lastEvent, s.req.MaxTokens)
	}
	return nil
}

// checkOrder returns an error if an event is not the one after the caller's last.
func (s *stream) checkOrder(ev streamEvent) error {
	if ev.id != 0 && s.lastEvent != 0 && ev.id != s.lastEvent+1 {
		return &BrokenError{Err: errors.Wrapf(ErrOrder, "%d after %d", ev.id, s.lastEvent)}
	}
	return nil
}

func (s *stream) sendHead(a *Answer) error {
	if s.headSent {
		return nil
	}
	s.headSent = true
	if err := s.sink.Begin(a.Status, a.Header); err != nil {
		return &finalError{err}
	}
	return nil
}
