package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// watch ends an attempt of a stream whose server has gone without a word. A
// server that loses power or its network sends no reset: only its silence tells.
//
// Before the first event silence is ordinary, since the prompt is being read;
// the server is asked for a sign of life instead. After it, events come in a
// steady beat and their absence is enough.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	e      *Exchange
	server *directory.Server

	mu    sync.Mutex
	timer *time.Timer
	armed time.Time
	wait  time.Duration
	early bool // no event has come yet
}

func newWatch(ctx context.Context, e *Exchange, server *directory.Server) *watch {
	w := &watch{e: e, server: server, early: true}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	w.arm(e.opts.Timings.ProbeAfter)
	w.mu.Unlock()
	go w.untilDown(server.Try())
	return w
}

// untilDown ends the attempt when others have found the server lost. Once
// events flow, the attempt's own are better evidence, but for a later start of
// the server: the process that ran the stream has ended.
func (w *watch) untilDown(down <-chan struct{}) {
	select {
	case <-down:
		w.mu.Lock()
		early := w.early
		w.mu.Unlock()
		if early || w.server.Replaced() {
			w.cancel(ErrServerLost)
		}
	case <-w.ctx.Done():
	}
}

func (w *watch) arm(wait time.Duration) {
	w.armed, w.wait = time.Now(), wait
	if w.timer == nil {
		w.timer = time.AfterFunc(wait, w.silent)
		return
	}
	w.timer.Reset(wait)
}

// heard notes an event; the timer rests while it is handed to the caller.
func (w *watch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.early = false
	w.timer.Stop()
}

// listen waits for the next event.
func (w *watch) listen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arm(w.e.opts.Timings.Silence)
}

// lateTimer is how late a timer may fire before it says more about this process
// than about the server: after a freeze every timer fires at once, while the
// events that came meanwhile are still unread.
const lateTimer = 150 * time.Millisecond

func (w *watch) silent() {
	w.mu.Lock()
	late := time.Since(w.armed)-w.wait > lateTimer
	if late {
		w.arm(w.wait)
	}
	early := w.early
	w.mu.Unlock()
	if late {
		return
	}
	if !early {
		w.e.probes.ask(w.server) // for the streams that wait there for their first event
		w.cancel(ErrSilent)
		return
	}
	select {
	case <-w.e.probes.ask(w.server):
	case <-w.ctx.Done():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.early && w.ctx.Err() == nil {
		w.arm(w.e.opts.Timings.ProbeAfter)
	}
}

// explain puts the watch's own reason in place of the error that closing the
// connection gave.
func (w *watch) explain(err error) error {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return err
	}
	cause := context.Cause(w.ctx)
	if errors.Is(cause, ErrSilent) || errors.Is(cause, ErrServerLost) {
		return &BrokenError{Err: cause}
	}
	return err
}

func (w *watch) end() {
	w.cancel(context.Canceled)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}
