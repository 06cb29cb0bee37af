package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// watch tells of an attempt of a stream whose server sends nothing. A server that
// loses power or its network sends no reset: only its silence tells. A sound one
// that reads other prompts is as silent, so what the watch tells ends nothing by
// itself; the attempt is ended at once only when its server's process is known to
// have ended.
//
// Before the first event silence is ordinary, since the prompt is being read;
// the server is asked for a sign of life instead. After it, events come in a
// steady beat and their absence is enough.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	e      *Exchange
	server *directory.Server
	alerts chan silenceAlert // holds the newest

	mu      sync.Mutex
	timer   *time.Timer // never nil
	armed   time.Time
	wait    time.Duration
	since   time.Time // when the wait for the next event began; zero while there is none
	early   bool      // no event has come yet
	proven  time.Time // the server's newest sign of life
	lived   bool      // what the newest alert said
	learned bool      // this wait has been counted as a pause
}

// silenceAlert says that a server sends nothing.
type silenceAlert struct {
	alive   bool          // nothing is known against it but that
	unheard time.Duration // since its newest sign of life
}

func newWatch(ctx context.Context, e *Exchange, server *directory.Server) *watch {
	now := time.Now()
	w := &watch{e: e, server: server, alerts: make(chan silenceAlert, 1), early: true, since: now, proven: now, lived: true}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	w.armed, w.wait = now, e.opts.Timings.ProbeAfter
	w.timer = time.AfterFunc(w.wait, w.silent)
	w.mu.Unlock()
	go w.untilDown(server.BeginAttempt())
	return w
}

// untilDown tells when others have found the server lost. Once events flow, the
// attempt's own are better evidence, but for a later start of the server: the
// process that ran the stream has ended.
func (w *watch) untilDown(down <-chan struct{}) {
	select {
	case <-down:
	case <-w.ctx.Done():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.server.Replaced(), w.early && w.server.Ended():
		w.cancel(ErrServerLost)
	case w.early:
		w.tell(false)
	}
}

// tell puts the newest alert in place of one that was not taken yet. The caller
// holds mu.
func (w *watch) tell(alive bool) {
	w.lived = alive
	w.forget()
	w.alerts <- silenceAlert{alive: alive, unheard: time.Since(w.proven)}
}

// alive tells what the newest alert said; true without one.
func (w *watch) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lived
}

// isSilent tells whether the next event is still waited for.
func (w *watch) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.since.IsZero()
}

// silence returns what is known of the wait that goes on.
func (w *watch) silence() *SilentError {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &SilentError{Alive: w.lived, Unread: w.server.QueuedTokens()}
	if !w.since.IsZero() {
		e.Silence = time.Since(w.since)
	}
	return e
}

// arm has silent called after a wait. The caller holds mu.
func (w *watch) arm(wait time.Duration) {
	if w.ctx.Err() != nil {
		return
	}
	w.armed, w.wait = time.Now(), wait
	w.timer.Reset(wait)
}

// heard notes an event; the timer rests while it is handed to the caller.
func (w *watch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.early && !w.learned {
		w.pace().seen(w.atUsualPace(time.Since(w.since)))
	}
	w.early, w.learned, w.lived = false, false, true
	w.since, w.proven = time.Time{}, time.Now()
	w.timer.Stop()
	w.forget()
}

// forget takes back an alert that nobody has taken: the silence is over. Taken
// later, when the next event is waited for, it ended an answer that went on.
// The caller holds mu.
func (w *watch) forget() {
	select {
	case <-w.alerts:
	default:
	}
}

func (w *watch) pace() *pace { return w.e.paceOf(w.server.Service) }

// atUsualPace returns how long the median server of the service would have paused.
func (w *watch) atUsualPace(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) / w.server.Slowness())
}

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
	if w.ctx.Err() != nil {
		return
	}
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
	asked := w.e.probes.ask(w.server)
	select {
	case <-asked.done:
	case <-w.ctx.Done():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.early {
		return
	}
	if asked.alive {
		w.proven = time.Now()
	} else {
		w.tell(false)
	}
	w.arm(w.e.opts.Timings.ProbeAfter)
}

// silentBetween tells of a silence between two events that is longer than the
// pauses of other servers, or whose server gives no sign of life. The first kind
// is told before the answer is there: where a copy of the stream's memory lies
// ready, nothing has to be known of the server.
func (w *watch) silentBetween() {
	asked := w.e.probes.ask(w.server) // also for the streams that wait there for their first event
	w.mu.Lock()
	since := w.since
	if since.IsZero() {
		w.mu.Unlock()
		return // an event has come just now
	}
	silence := time.Since(since)
	rest := w.pace().pauses.bound(w.e.opts.Timings.Silence, w.server.QueuedTokens() > 0, w.server.Slowness()) - silence
	tooLong := rest <= 0
	if tooLong {
		w.tell(w.lived)
		rest = w.e.opts.Timings.ProbeAfter
	}
	w.arm(rest)
	w.mu.Unlock()
	alive := w.answers(asked)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.since.Equal(since) {
		return
	}
	if !alive {
		w.tell(false)
		return
	}
	w.lived, w.proven = true, time.Now()
	if tooLong {
		w.learn(silence)
	}
}

// probeTimeout is how long a server may take to give one while a stream waits: an
// answer takes 3 ms between zones, twice that on a new connection, and the caller
// allows 700 ms without an event, in which the stream has to go on elsewhere.
const probeTimeout = 100 * time.Millisecond

// answers tells whether the server answers the question that was asked.
func (w *watch) answers(asked *question) bool {
	select {
	case <-asked.done:
		return asked.alive
	case <-time.After(probeTimeout):
		return false
	case <-w.ctx.Done():
		return true
	}
}

// learn counts a silence beyond the bound as a pause of a server that lives. Where
// every pause beside a prompt is longer than the bound, none would ever be seen
// otherwise: most end at another server. How much longer the silence lasts is not
// counted: a stream that is set aside for seconds says nothing about pauses.
func (w *watch) learn(silence time.Duration) {
	if w.learned {
		return
	}
	w.learned = true
	w.pace().pauses.seen(w.atUsualPace(silence))
}

// explain puts the watch's own reason in place of the error that closing the
// connection gave.
func (w *watch) explain(err error) error {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return err
	}
	cause := context.Cause(w.ctx)
	if errors.Is(cause, ErrServerLost) {
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
