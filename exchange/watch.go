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
	since time.Time // when the wait for the next event began; zero while there is none
	early bool      // no event has come yet
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
	if !w.early {
		w.pace().seen(time.Since(w.since))
	}
	w.early, w.since = false, time.Time{}
	w.timer.Stop()
}

func (w *watch) pace() *pace { return w.e.paceOf(w.server.Service) }

// listen waits for the next event.
func (w *watch) listen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Now()
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
		w.silentBetween()
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

// silentBetween ends the attempt unless its server pauses longer than others do
// and gives a sign of life: then the stream waits for as long as is usual there.
func (w *watch) silentBetween() {
	asked := w.e.probes.ask(w.server) // also for the streams that wait there for their first event
	w.mu.Lock()
	since := w.since
	if since.IsZero() {
		w.mu.Unlock()
		return // an event has come just now
	}
	rest := w.pace().pauses.bound(w.e.opts.Timings.Silence, w.server.Unread() > 0) - time.Since(since)
	if rest > 0 {
		w.arm(rest)
	}
	w.mu.Unlock()
	if rest <= 0 {
		w.cancel(w.silence(since, !w.server.IsDown(time.Now())))
		w.learnFromCut(time.Since(since), asked)
		return
	}
	alive := w.answers(asked)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !alive && w.since.Equal(since) {
		w.cancel(w.silence(since, false))
	}
}

func (w *watch) silence(since time.Time, alive bool) *SilentError {
	return &SilentError{Silence: time.Since(since), Alive: alive, Unread: w.server.Unread()}
}

// signOfLife is how long a server may take to give one while a stream waits: an
// answer takes 3 ms between zones, twice that on a new connection, and the caller
// allows 700 ms without an event, in which the stream has to go on elsewhere.
const signOfLife = 100 * time.Millisecond

// answers tells whether the server answers the question that was asked.
func (w *watch) answers(asked <-chan struct{}) bool {
	select {
	case <-asked:
		return !w.server.IsDown(time.Now())
	case <-time.After(signOfLife):
		return false
	case <-w.ctx.Done():
		return true
	}
}

// learnFromCut counts the silence that ended an attempt as a pause if the server
// lives. Where every pause beside a prompt is longer than the bound, none would
// ever be seen otherwise. A few streams of sound servers that do fall silent
// don't change what is usual.
func (w *watch) learnFromCut(silence time.Duration, asked <-chan struct{}) {
	<-asked
	if !w.server.IsDown(time.Now()) {
		w.pace().pauses.seen(silence)
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
