package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// While an engine reads a prompt, the streams that it runs beside it stand
// nearly still: 8,000 tokens cost each of them a second. Where there are many
// streams a server, as when zones have been lost, each is disturbed so again
// and again. Then a stream is moved, once its own prompt is read, to a server
// that reads none: its memory is copied there while it goes on, and only when
// the copy is there does the stream change over.

const (
	// crowdedFrom is how many streams a sound server runs from which on streams
	// are moved. With fewer, moving costs more (a second copy) than it saves.
	crowdedFrom = 1.8
	// moveBudget is the share of the retry budget that moves may use: each is
	// one more sending, and losses come first.
	moveBudget = 0.5
)

// errMoved ends an attempt whose stream goes on elsewhere by its own choice.
var errMoved = errors.New("exchange: the stream is moved")

// crowded tells whether streams of a service are to be moved.
func (e *Exchange) crowded(service string) bool {
	s, ok := e.opts.Services(service)
	return ok && s.CopiesOnCall && e.opts.Directory.Crowd(service, time.Now()) >= crowdedFrom
}

// mayMove tells whether a stream that begins now is to be moved. The move's
// place in the budget is taken at once: such a stream gets no copy before.
func (s *stream) mayMove(from *Memory) bool {
	if from != nil || s.begun || !s.req.Route.Resumable || s.req.Route.Attempts() < 3 || !s.e.crowded(s.req.Service) {
		return false
	}
	w := s.e.budget(s.req.Service)
	w.Bound(s.e.opts.RetryRatio, s.e.opts.RetryExtra())
	return w.AllowShare(moveBudget)
}

// move copies the stream's memory to a server that reads no prompts and ends
// the attempt once the copy is there. Without one the stream stays, and gets a
// copy like any other.
func (s *stream) move(w *watch, server *directory.Server) {
	to := s.e.opts.Directory.Pick(directory.Query{
		Service: s.req.Service, Zone: s.e.opts.Zone, Avoid: map[string]bool{server.ID: true}, Prompt: s.req.PromptTokens, Decode: true,
	}, time.Now())
	if to != nil && s.copyTo(w.ctx, server, to) {
		w.cancel(errMoved)
		return
	}
	if w.ctx.Err() == nil && s.copyAgain(w.ctx, server, server) {
		s.keepCopy(w.ctx, server)
	}
}

// copyTo asks for a copy at a server; it reports whether it is there.
func (s *stream) copyTo(ctx context.Context, server, to *directory.Server) bool {
	began := time.Now()
	asking, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	// The stream counts at its new place from now on: others choose theirs meanwhile.
	defer to.StreamBegun(0).End()
	memory, err := s.e.opts.Backend.Copy(asking, s.req, server, to)
	if ctx.Err() != nil {
		return false
	}
	if err != nil {
		s.e.opts.Recorder.Emit(EventNotMoved, event.FieldRequest, s.req.ID, "server", server.ID, "to", to.ID, "took", time.Since(began), "err", err)
		return false
	}
	s.copies.set(memory)
	s.e.metrics.moves.Observe(time.Since(began).Seconds())
	return true
}

// moved tells whether an attempt ended because its stream moves.
func (s *stream) isMoved(err error) bool {
	if !errors.Is(err, errMoved) {
		return false
	}
	s.ran++
	s.paid = true
	return true
}
