package exchange

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
)

// after names the event after which the next attempt goes on.
func (s *stream) after() string {
	if s.last == 0 {
		return s.req.LastEvent
	}
	return strconv.FormatUint(s.last, 10)
}

// take handles a step of the current attempt. It reports whether the stream is
// whole; an error ends the attempt.
func (s *stream) take(ctx context.Context, st step) (done bool, err error) {
	switch {
	case st.err == io.EOF:
		s.ran++
		s.e.metrics.attempts.WithLabelValues("answered").Inc()
		s.e.paceOf(s.req.Service).ended(s.last, s.req.MaxTokens)
		return true, s.begin(st.answer)
	case st.err != nil:
		return false, st.err
	case st.reply != nil:
		return true, s.passReply(st.reply)
	}
	a := s.current
	if !a.heard {
		a.heard = true
		s.promptRead(a)
		s.started(a)
		go s.keepCopy(a.watch.ctx, a, s.excludedFor(a.server))
	}
	return false, s.pass(st.answer, st.event)
}

// passReply treats an answer that is no stream.
func (s *stream) passReply(reply *Reply) error {
	if s.begun {
		return &BrokenError{Err: errors.Errorf("the server answered %d to a resume", reply.Status)}
	}
	again := reply.Status >= 500 && s.ran+1 < s.req.Route.Attempts() && s.req.Route.Resumable
	if again {
		return &BrokenError{Err: errors.Errorf("the server answered %d", reply.Status)}
	}
	s.ran++
	s.begun, s.status = true, reply.Status
	if err := s.sink.Begin(reply.Status, reply.Header); err != nil {
		return &finalError{err}
	}
	if err := s.sink.Event(reply.Body); err != nil {
		return &finalError{err}
	}
	return s.passRest(reply.Rest)
}

// passRest hands on what follows in an answer that is too large to be held. A
// break in it ends the stream: its caller has a part already.
//
// A failure that is longer than what is held must not end as if it were whole.
func (s *stream) passRest(rest Body) error {
	if rest == nil {
		return nil
	}
	buf := make([]byte, restBuffer)
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

// restBuffer is how much of such an answer is handed on at once, in bytes.
const restBuffer = 32 << 10

// promptRead takes the prompt off the server's load.
func (s *stream) promptRead(a *streamAttempt) {
	if s.ran > 0 || s.req.LastEvent != "" || s.kept[a.server.Start] > 0 {
		a.load.CachedPromptRead()
		return
	}
	a.load.PromptRead()
}

// started notes the first event of an attempt.
func (s *stream) started(a *streamAttempt) {
	if s.ran == 0 {
		return
	}
	s.resumed++
	how := "prompt_read_again"
	if a.from != nil {
		how = "copy"
	}
	since := s.quietSince()
	s.e.metrics.resumes.WithLabelValues(how).Inc()
	s.e.metrics.resumeTime.Observe(time.Since(since).Seconds())
	s.e.opts.Recorder.Emit(EventResumed, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", a.server.Start,
		"reached", s.last, "how", how, "after", time.Since(since))
}

// quietSince returns when the caller last got an event, or sent its request.
func (s *stream) quietSince() time.Time {
	if s.lastAt.IsZero() {
		return s.req.Arrived
	}
	return s.lastAt
}

// pass hands one event to the caller. Events must follow each other without a
// gap: what a server sends after a resume may begin anew or in the wrong place.
func (s *stream) pass(a *Answer, ev streamEvent) error {
	if err := s.follows(ev); err != nil {
		return err
	}
	if err := s.begin(a); err != nil {
		return err
	}
	if err := s.sink.Event(ev.raw); err != nil {
		return &finalError{err}
	}
	now := time.Now()
	if s.firstAt.IsZero() {
		s.firstAt = now
		s.e.metrics.firstEvent.Observe(now.Sub(s.req.Arrived).Seconds())
	} else {
		s.longest = max(s.longest, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.refusedNow, s.turnedDown = 0, 0
	if ev.id != 0 {
		s.last = ev.id
		s.e.paceOf(s.req.Service).reached(s.last, s.req.MaxTokens)
	}
	return nil
}

// follows tells whether an event is the one after the caller's last.
func (s *stream) follows(ev streamEvent) error {
	if ev.id != 0 && s.last != 0 && ev.id != s.last+1 {
		return &BrokenError{Err: errors.Wrapf(ErrOrder, "%d after %d", ev.id, s.last)}
	}
	return nil
}

func (s *stream) begin(a *Answer) error {
	if s.begun {
		return nil
	}
	s.begun = true
	if err := s.sink.Begin(a.Status, a.Header); err != nil {
		return &finalError{err}
	}
	return nil
}
