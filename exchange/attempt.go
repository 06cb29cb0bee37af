package exchange

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// attempt runs the stream on one server until its end or a failure.
func (s *stream) attempt(ctx context.Context, server *directory.Server, from *Memory) error {
	s.server, s.heard = server, false
	s.onItsWay.server.Store(server)
	prompt := s.req.PromptTokens
	if from != nil {
		prompt = 0
	}
	running := server.StreamBegun(prompt)
	defer running.End()
	w := newWatch(ctx, s.e, server)
	defer w.end()
	began := time.Now()
	copyTo := s.placeCopy(server)
	answer, err := s.e.opts.Backend.Open(w.ctx, &Attempt{
		Request: s.req, Server: server, Left: s.req.left(began), After: s.after(), CopyTo: copyTo, From: from,
	})
	if err != nil {
		return w.explain(err)
	}
	defer answer.Body.Close()
	if answer.Status >= 300 || answer.Status < 200 {
		return s.statusOf(answer)
	}
	return s.passEvents(w, running, answer, from)
}

// after names the event after which the next attempt goes on.
func (s *stream) after() string {
	if s.last == 0 {
		return s.req.LastEvent
	}
	return strconv.FormatUint(s.last, 10)
}

// statusOf treats an answer that is no stream.
func (s *stream) statusOf(a *Answer) error {
	if s.begun {
		return &BrokenError{Err: errors.Errorf("the server answered %d to a resume", a.Status)}
	}
	again := a.Status >= 500 && s.ran+1 < s.req.Route.Attempts() && s.req.Route.Resumable
	if again {
		return &BrokenError{Err: errors.Errorf("the server answered %d", a.Status)}
	}
	reply, err := whole(a)
	if err != nil {
		return err
	}
	s.ran++
	s.begun, s.status = true, reply.Status
	if err := s.sink.Begin(reply.Status, reply.Header); err != nil {
		return &finalError{err}
	}
	if err := s.sink.Event(reply.Body); err != nil {
		return &finalError{err}
	}
	return nil
}

// passEvents passes events on until the stream's end.
func (s *stream) passEvents(w *watch, running *directory.Running, a *Answer, from *Memory) error {
	events := newEventReader(a.Body)
	first := true
	for {
		ev, err := events.next()
		if err == io.EOF {
			s.ran++
			s.e.metrics.attempts.WithLabelValues("answered").Inc()
			return s.finish(a)
		}
		if err != nil {
			return w.explain(&BrokenError{Err: err})
		}
		w.heard()
		s.server.Heard(time.Now())
		if first {
			first, s.heard = false, true
			running.Read()
			s.started(from)
			go s.keepCopy(w.ctx, s.server, s.notFor(s.server))
		}
		if err := s.pass(a, ev); err != nil {
			return err
		}
		w.listen()
	}
}

// started notes the first event of an attempt.
func (s *stream) started(from *Memory) {
	if s.ran == 0 {
		return
	}
	s.resumed++
	how := "prompt_read_again"
	if from != nil {
		how = "copy"
	}
	since := s.lastAt
	if since.IsZero() {
		since = s.req.Arrived
	}
	s.e.metrics.resumes.WithLabelValues(how).Inc()
	s.e.metrics.resumeTime.Observe(time.Since(since).Seconds())
	s.e.opts.Recorder.Emit(EventResumed, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.server.Start,
		"reached", s.last, "how", how, "after", time.Since(since))
}

// pass hands one event to the caller. Events must follow each other without a
// gap: what a server sends after a resume may begin anew or in the wrong place.
func (s *stream) pass(a *Answer, ev streamEvent) error {
	if ev.id != 0 && s.last != 0 && ev.id != s.last+1 {
		return &BrokenError{Err: errors.Wrapf(ErrOrder, "%d after %d", ev.id, s.last)}
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
	if ev.id != 0 {
		s.last = ev.id
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

func (s *stream) finish(a *Answer) error { return s.begin(a) }
