package exchange

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// A stream is handed over from a silent server to another one, its successor, so that the
// two don't work on it side by side. A server that is asked to continue from a copy of the
// KV cache begins at once, ahead of all requests that wait there, and may have begun long
// before that is seen here. Therefore nothing that the former server sends after the
// successor was asked counts, unless the successor refuses: its first event, its failure, or
// acceptanceTime without a refusal ends the former attempt.

// acceptanceTime is how long the former attempt is kept after the request was sent to the
// successor. A refusal comes within a round trip and leaves the stream where it is. Servers may
// work on a stream side by side for 400 ms, the travel to and from both included.
const acceptanceTime = 200 * time.Millisecond

// readTime is how long a refusal that has arrived may take to be read after a stall of this process.
const readTime = 10 * time.Millisecond

// maxSendTime bounds the time until the request is sent: a connection that isn't established by
// then is given up.
const maxSendTime = 300 * time.Millisecond

// handoverTime is how long a stream takes at most to continue at the server that has a copy
// of its KV cache, on healthy VMs. A server that answers probes keeps its stream until that
// much is left of the pause that the caller allows, since most of them resume by then.
const handoverTime = 250 * time.Millisecond

// askSuccessor sends the stream to another server.
func (s *stream) askSuccessor(ctx context.Context, server *directory.Server, from *KVCopy, run *trackedRun) {
	s.silence = s.current.watch.silenceError()
	s.successor = s.launch(ctx, server, from, run)
	s.acceptanceDue = time.After(maxSendTime + acceptanceTime)
}

// successorSent is closed when the request has been sent to the successor; nil without one, or if
// that has been handled.
func (s *stream) successorSent() <-chan struct{} {
	if s.successor == nil || s.successor.sentHandled {
		return nil
	}
	return s.successor.sent
}

// awaitAcceptance waits for a refusal until acceptanceTime after the request was sent.
func (s *stream) awaitAcceptance() {
	s.successor.sentHandled = true
	s.acceptanceDue = time.After(max(readTime, acceptanceTime-time.Since(s.successor.requestSentAt)))
}

// currentSteps returns the steps of the current attempt; nil, which blocks, while a successor
// may refuse.
func (s *stream) currentSteps() <-chan step {
	if s.successor != nil {
		return nil
	}
	return s.current.steps
}

// successorSteps returns the steps of the successor; nil, which blocks, without one.
func (s *stream) successorSteps() <-chan step {
	if s.successor == nil {
		return nil
	}
	return s.successor.steps
}

// handleSuccessor processes the first step of the successor.
func (s *stream) handleSuccessor(ctx context.Context, st step) (done bool, err error) {
	st.rethrow()
	if err := s.checkAcceptance(st); err != nil {
		return false, s.onSuccessorFailed(ctx, err)
	}
	s.completeHandover()
	return s.handleStep(ctx, st)
}

// onSuccessorFailed drops a successor that sent nothing to continue with. If it has refused, the
// stream stays at the former server. If it may have begun, the former attempt is ended too, which
// the returned error says, unless no further attempt is allowed: a server that works is better
// for the caller than none.
func (s *stream) onSuccessorFailed(ctx context.Context, err error) error {
	s.handleFailure(s.dropSuccessor(), err)
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		s.tryHandover(ctx)
		return nil
	}
	if s.ran+1 < s.req.Route.Attempts() {
		return &BrokenError{Err: s.silence}
	}
	return nil
}

// onAcceptanceDue ends the wait for the successor's first step. One that has arrived goes first:
// after a stall of this process both may be ready.
func (s *stream) onAcceptanceDue(ctx context.Context) (done bool, err error) {
	select {
	case st := <-s.successor.steps:
		return s.handleSuccessor(ctx, st)
	default:
		s.completeHandover()
		return false, nil
	}
}

// checkAcceptance returns why the stream stays with the former server after the successor's
// first step; nil if it continues at the successor. A server that starts over, or ends without
// an event, must not replace one that is working.
func (s *stream) checkAcceptance(st step) error {
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

// completeHandover ends the attempt at the silent server and makes the successor the current one.
func (s *stream) completeHandover() {
	former, silence, ended := s.current, s.silence, time.Now()
	former.close()
	closed := time.Now()
	s.handleFailure(former, &BrokenError{Err: silence})
	former.copies.close()
	s.current, s.successor, s.acceptanceDue, s.isSilent, s.noHandoverReason = s.successor, nil, nil, false, ""
	s.current.tookOver = true
	s.active.server.Store(s.current.server)
	s.e.opts.Recorder.Emit(EventTakeover, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "former", former.server.Start, "server", s.current.server.Start,
		"copy", s.current.from != nil, "reached", s.lastEvent, "silent", silence.Silence, "alive", silence.Alive, "both", closed.Sub(s.current.sentAt), "closed", closed.Sub(ended))
}

// dropSuccessor ends the successor, if there is one, and releases the copy that it was to
// resume from. The current attempt gets another copy.
func (s *stream) dropSuccessor() *streamAttempt {
	if s.successor == nil {
		return nil
	}
	a := s.successor
	s.successor, s.acceptanceDue = nil, nil
	a.close()
	a.run.end()
	a.copies.close()
	if a.from != nil {
		a.releaseSource()
		s.current.copyState.Store(copyUsedUp)
	}
	return a
}
