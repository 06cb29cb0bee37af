package exchange

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// While an engine reads a prompt, the streams that it runs beside it stand
// nearly still: 8,000 tokens cost each of them a second. Where there are more
// streams than servers, a stream is therefore moved after its first event from
// the server that read its prompt to one that reads none. Its copy is placed
// from there. At two streams for three servers this shortens a stream by a
// fifth, and by a third when a zone is lost.

const (
	// splitBelow is the share of idle servers under which streams are moved:
	// with more of them, new prompts find one for themselves.
	splitBelow = 0.35
	// splitBudget is the share of the retry budget that moves may use: each is
	// one more sending, and losses come first.
	splitBudget = 0.5
	// moveTimeout bounds a move: 40 ms for the memory of a long prompt between
	// zones, behind a few others.
	moveTimeout = 600 * time.Millisecond
)

// splits tells whether a stream that begins now is to be moved once its prompt
// has been read. The move's place in the budget is taken at once: a stream that
// waits for a move has no copy yet.
func (e *Exchange) splits(req *Request) bool {
	service, ok := e.opts.Services(req.Service)
	return ok && service.Moves && req.Route.Resumable && req.Route.Attempts() > 2 &&
		e.opts.Directory.IdleShare(req.Service, time.Now()) < splitBelow && e.allowMove(req.Service)
}

// handOver asks for the move of the running attempt, beside its stream: events
// that were made before it stops still come.
func (s *stream) handOver(w *watch) {
	to := s.e.opts.Directory.Pick(directory.Query{
		Service: s.req.Service, Zone: s.e.opts.Zone, Avoid: map[string]bool{s.server.ID: true},
		Prompt: s.req.PromptTokens, For: directory.ToDecode,
	}, time.Now())
	if to == nil {
		return
	}
	moving, from := make(chan *Memory, 1), s.server
	s.moving = moving
	go func() { moving <- s.e.move(w.ctx, s.req, from, to) }()
}

func (e *Exchange) allowMove(service string) bool {
	w := e.budget(service)
	w.Bound(e.opts.RetryRatio, e.opts.RetryExtra())
	return w.AllowShare(splitBudget)
}

// move returns nil if the run could not be stopped.
func (e *Exchange) move(ctx context.Context, req *Request, from, to *directory.Server) *Memory {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), moveTimeout)
	defer cancel()
	began := time.Now()
	defer to.StreamBegun(0).End()
	memory, err := e.opts.Backend.Move(ctx, req, from, to)
	if err != nil {
		e.opts.Recorder.Emit(EventNotMoved, event.FieldRequest, req.ID, "from", from.ID, "to", to.ID, "err", err, "took", time.Since(began))
		return nil
	}
	e.metrics.moves.Observe(time.Since(began).Seconds())
	return memory
}

// takeOver tells whether an attempt ended because its run was moved, and makes
// the next attempt go on from there.
func (s *stream) takeOver(ctx context.Context, err error) bool {
	moving := s.moving
	s.moving = nil
	if moving == nil || ctx.Err() != nil {
		return false
	}
	var done *finalError
	if errors.As(err, &done) {
		return false
	}
	m := <-moving
	if m == nil {
		return false
	}
	s.moved = m
	s.arrivals++
	s.ran++
	return true
}
