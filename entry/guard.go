package entry

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/promptcache"
)

// guardedBackend turns panics of a backend's methods into errors.
//
// Such goroutines run beside the requests that they are made for; a panic there would
// end the process with all that runs through it.
type guardedBackend struct {
	exchange.Backend
	recorder *event.Recorder
}

// guard is to be deferred: it makes an error of a panic.
func (g *guardedBackend) guard(request string, s *directory.Server, err *error) {
	why := recover()
	if why == nil {
		return
	}
	stack := debug.Stack()
	g.recorder.Emit(EventAttemptPanicked, event.FieldRequest, request, "server", s.Start, "panic", fmt.Sprint(why),
		"stack", string(stack[:min(len(stack), maxStack)]))
	*err = &exchange.BrokenError{Err: errors.Errorf("entry: panic: %v", why)}
}

// Open implements exchange.Backend.
func (g *guardedBackend) Open(ctx context.Context, a *exchange.Attempt) (answer *exchange.Answer, err error) {
	defer g.guard(a.Request.ID, a.Server, &err)
	answer, err = g.Backend.Open(ctx, a)
	if err != nil {
		return nil, err
	}
	answer.Body = &guardedBody{Body: answer.Body, guard: g, attempt: a}
	return answer, nil
}

// Copy implements exchange.Backend.
func (g *guardedBackend) Copy(ctx context.Context, req *exchange.Request, from, to *directory.Server) (m *exchange.KVCopy, err error) {
	defer g.guard(req.ID, from, &err)
	return g.Backend.Copy(ctx, req, from, to)
}

// Free implements exchange.Backend.
func (g *guardedBackend) Free(ctx context.Context, m *exchange.KVCopy) (err error) {
	defer g.guard("", m.Server, &err)
	return g.Backend.Free(ctx, m)
}

// Probe implements exchange.Backend.
func (g *guardedBackend) Probe(ctx context.Context, s *directory.Server) (born int64, err error) {
	defer g.guard("", s, &err)
	return g.Backend.Probe(ctx, s)
}

// Kept implements exchange.Backend.
func (g *guardedBackend) CachedPrompts(ctx context.Context, s *directory.Server) (contents promptcache.Contents, err error) {
	defer g.guard("", s, &err)
	return g.Backend.CachedPrompts(ctx, s)
}

// guardedBody is the body of an answer of a guardedBackend.
type guardedBody struct {
	exchange.Body
	guard   *guardedBackend
	attempt *exchange.Attempt
}

// Read implements exchange.Body.
func (b *guardedBody) Read(p []byte) (n int, err error) {
	defer b.guard.guard(b.attempt.Request.ID, b.attempt.Server, &err)
	return b.Body.Read(p)
}
