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
// The methods run on goroutines other than those of the requests' handlers; an
// unrecovered panic there would end the process and all its requests.
type guardedBackend struct {
	exchange.Backend
	recorder *event.Recorder
}

// recoverInto must be deferred. It recovers a panic and turns it into an error.
func (g *guardedBackend) recoverInto(request string, s *directory.Server, err *error) {
	recovered := recover()
	if recovered == nil {
		return
	}
	stack := debug.Stack()
	g.recorder.Emit(EventAttemptPanicked, event.FieldRequest, request, "server", s.Start, "panic", fmt.Sprint(recovered),
		"stack", string(stack[:min(len(stack), maxStackBytes)]))
	*err = &exchange.BrokenError{Err: errors.Errorf("entry: panic: %v", recovered)}
}

// Open implements exchange.Backend.
func (g *guardedBackend) Open(ctx context.Context, a *exchange.Attempt) (answer *exchange.Answer, err error) {
	defer g.recoverInto(a.Request.ID, a.Server, &err)
	answer, err = g.Backend.Open(ctx, a)
	if err != nil {
		return nil, err
	}
	answer.Body = &guardedBody{Body: answer.Body, backend: g, attempt: a}
	return answer, nil
}

// Copy implements exchange.Backend.
func (g *guardedBackend) Copy(ctx context.Context, req *exchange.Request, from, to *directory.Server) (kv *exchange.KVCopy, err error) {
	defer g.recoverInto(req.ID, from, &err)
	return g.Backend.Copy(ctx, req, from, to)
}

// Free implements exchange.Backend.
func (g *guardedBackend) Free(ctx context.Context, kv *exchange.KVCopy) (err error) {
	defer g.recoverInto("", kv.Server, &err)
	return g.Backend.Free(ctx, kv)
}

// Probe implements exchange.Backend.
func (g *guardedBackend) Probe(ctx context.Context, s *directory.Server) (born int64, err error) {
	defer g.recoverInto("", s, &err)
	return g.Backend.Probe(ctx, s)
}

// CachedPrompts implements exchange.Backend.
func (g *guardedBackend) CachedPrompts(ctx context.Context, s *directory.Server) (contents promptcache.Contents, err error) {
	defer g.recoverInto("", s, &err)
	return g.Backend.CachedPrompts(ctx, s)
}

// guardedBody turns panics of Read of a response's body into errors.
type guardedBody struct {
	exchange.Body
	backend *guardedBackend
	attempt *exchange.Attempt
}

// Read implements exchange.Body.
func (b *guardedBody) Read(p []byte) (n int, err error) {
	defer b.backend.recoverInto(b.attempt.Request.ID, b.attempt.Server, &err)
	return b.Body.Read(p)
}
