package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// silenceWatch detects that the server of a stream's attempt sends nothing. A server
// that loses power or its network sends no reset, so silence is the only sign. A
// healthy server that reads other prompts is as silent, so an alert ends nothing by
// itself. The attempt is ended at once only when its server's process is known to have
// ended.
//
// Before the first event silence is normal, since the prompt is being read; the server
// is probed instead. After it, events come at a steady pace and their absence is
// enough.
type silenceWatch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	e      *Exchange
	server *directory.Server
	alerts chan silenceAlert // holds the newest alert
	// tolerated is the silence of a live server that leaves time for a handover within the
	// pause that the caller allows.
	tolerated time.Duration
	fromCopy  bool // the server continues from a copy: it reads no prompt before the first event

	mu            sync.Mutex
	timer         *time.Timer   // never nil
	armedAt       time.Time     // when timer was last set
	wait          time.Duration // what timer was last set to
	waitingSince  time.Time     // when the wait for the next event started; zero while there is none
	beforeFirst   bool          // no event has arrived yet
	lastProof     time.Time     // the server's newest proof of life, or the start of the attempt
	presumedAlive bool          // nothing but the silence, if there is one, suggests that the server is lost
	pauseCounted  bool          // this wait has been counted as a pause
	lastProbe     *probe        // the newest one that was not answered; nil: none since the last proof of life
	unanswered    int           // probes in a row that were not answered
}

// silenceAlert reports that a server sends nothing.
type silenceAlert struct {
	alive      bool          // nothing but the silence suggests that the server is lost
	sinceProof time.Duration // since its newest proof of life
}

// newWatch starts the watch of an attempt, which may continue from a copy. gap is the pause that
// the caller allows; 0: any.
func newWatch(ctx context.Context, e *Exchange, server *directory.Server, gap time.Duration, fromCopy bool) *silenceWatch {
	now := time.Now()
	w := &silenceWatch{e: e, server: server, tolerated: toleratedSilence(gap), fromCopy: fromCopy, alerts: make(chan silenceAlert, 1), beforeFirst: true, waitingSince: now, lastProof: now, presumedAlive: true}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	w.mu.Lock()
	w.armedAt, w.wait = now, e.opts.Timings.ProbeAfter
	w.timer = time.AfterFunc(w.wait, w.onTimer)
	w.mu.Unlock()
	go w.watchDown(server.BeginAttempt())
	return w
}

func toleratedSilence(gap time.Duration) time.Duration {
	if gap <= 0 {
		return maxSilence
	}
	return min(gap-handoverTime, maxSilence)
}

// watchDown raises an alert when the server was found lost by other requests or
// processes. Once events flow, the attempt's own events are better evidence, except for
// a later start of the server: then the process that ran the stream has ended.
func (w *silenceWatch) watchDown(down <-chan struct{}) {
	select {
	case <-down:
	case <-w.ctx.Done():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.server.Replaced(), w.beforeFirst && w.server.Ended():
		w.cancel(ErrServerLost)
	case w.beforeFirst:
		w.alert(false)
	}
}

// alert replaces an alert that was not received yet. The caller holds mu.
func (w *silenceWatch) alert(alive bool) {
	w.presumedAlive = alive
	w.discardAlert()
	w.alerts <- silenceAlert{alive: alive, sinceProof: time.Since(w.lastProof)}
}

// alive reports whether nothing but its silence suggests that the server is lost.
func (w *silenceWatch) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.presumedAlive
}

// lossProbes is how many probes in a row must have been unanswered for a loss to be
// confirmed. One may get lost on the way, or be refused by a server that works.
const lossProbes = 2

// lossConfirmed reports whether the server is lost beyond what a single probe says, and how
// long it has shown no proof of life.
func (w *silenceWatch) lossConfirmed() (confirmed bool, sinceProof time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unanswered >= lossProbes, time.Since(w.lastProof)
}

// probeFailed records that a probe was not answered, raises an alert and schedules the probe
// that confirms the loss. The caller holds mu.
func (w *silenceWatch) probeFailed(p *probe) {
	if p != w.lastProbe {
		w.lastProbe = p
		w.unanswered++
	}
	w.alert(false)
	if w.unanswered < lossProbes {
		w.arm(pickInterval)
	}
}

// proofReceived records a proof of life. The caller holds mu.
func (w *silenceWatch) proofReceived() {
	w.lastProof, w.lastProbe, w.unanswered = time.Now(), nil, 0
}

// isWaiting reports whether the next event is still awaited.
func (w *silenceWatch) isWaiting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.waitingSince.IsZero()
}

// silenceError returns the error of an attempt that is ended because of the silence.
func (w *silenceWatch) silenceError() *SilentError {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &SilentError{Alive: w.presumedAlive, Unread: w.server.QueuedTokens()}
	if !w.waitingSince.IsZero() {
		e.Silence = time.Since(w.waitingSince)
	}
	return e
}

// arm schedules onTimer after a wait. The caller holds mu.
func (w *silenceWatch) arm(wait time.Duration) {
	if w.ctx.Err() != nil {
		return
	}
	w.armedAt, w.wait = time.Now(), wait
	w.timer.Reset(wait)
}

// eventReceived records an event. The timer is stopped while the event is forwarded to
// the caller.
func (w *silenceWatch) eventReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.beforeFirst && !w.pauseCounted {
		w.pace().observePause(w.normalized(time.Since(w.waitingSince)))
	}
	w.beforeFirst, w.pauseCounted, w.presumedAlive = false, false, true
	w.waitingSince = time.Time{}
	w.proofReceived()
	w.timer.Stop()
	w.discardAlert()
}

// discardAlert withdraws an alert that was not received yet. An alert that was received
// after its silence was over, while the next event was awaited, cut off a response that
// was still being sent. The caller holds mu.
func (w *silenceWatch) discardAlert() {
	select {
	case <-w.alerts:
	default:
	}
}

// pace returns the pace of the server's service.
func (w *silenceWatch) pace() *pace { return w.e.paceFor(w.server.Service) }

// normalized returns how long the median server of the service would have paused.
func (w *silenceWatch) normalized(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) / w.server.Slowness())
}

// awaitEvent starts the wait for the next event.
func (w *silenceWatch) awaitEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waitingSince = time.Now()
	w.arm(w.e.opts.Timings.Silence)
}

// maxTimerDelay is how late a timer may fire before that says more about this process
// than about the server: after a freeze all timers fire at once, while the events that
// arrived meanwhile are still unread.
const maxTimerDelay = 150 * time.Millisecond

// onTimer handles the end of a wait. Before the first event it probes the server and
// raises an alert if the probe fails, or if the server was to continue from a copy and has sent
// nothing for silenceTimeout.
func (w *silenceWatch) onTimer() {
	if w.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	late := time.Since(w.armedAt)-w.wait > maxTimerDelay
	if late {
		w.arm(w.wait)
	}
	beforeFirst := w.beforeFirst
	w.mu.Unlock()
	if late {
		return
	}
	if !beforeFirst {
		w.silentBetweenEvents()
		return
	}
	probe := w.e.probes.start(w.server)
	select {
	case <-probe.done:
	case <-w.ctx.Done():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.beforeFirst {
		return
	}
	w.arm(w.e.opts.Timings.ProbeAfter)
	if !probe.alive {
		w.probeFailed(probe)
		return
	}
	w.proofReceived()
	if w.fromCopy && time.Since(w.waitingSince) >= silenceTimeout {
		w.alert(true)
	}
}

// silentBetweenEvents raises an alert for a silence between two events that is longer
// than the usual pauses of the service (see pauses.bound), or whose server does not
// answer a probe. The former is raised before the probe is answered: where a copy of the
// stream's KV cache is ready, nothing needs to be known about the server.
func (w *silenceWatch) silentBetweenEvents() {
	probe := w.e.probes.start(w.server) // also on behalf of streams that await their first event there
	w.mu.Lock()
	since := w.waitingSince
	if since.IsZero() {
		w.mu.Unlock()
		return // an event has just arrived
	}
	silence := time.Since(since)
	usual := w.pace().pauses.bound(w.e.opts.Timings.Silence, w.server.QueuedTokens() > 0, w.server.Slowness())
	remaining := max(usual, w.tolerated) - silence
	tooLong := remaining <= 0
	if tooLong {
		w.alert(w.presumedAlive)
		remaining = w.e.opts.Timings.ProbeAfter
	}
	w.arm(remaining)
	w.mu.Unlock()
	alive := w.awaitProbe(probe)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.waitingSince.Equal(since) {
		return
	}
	if !alive {
		w.probeFailed(probe)
		return
	}
	w.presumedAlive = true
	w.proofReceived()
	if tooLong {
		w.countPause(silence)
	}
}

// quickProbeTimeout bounds a probe while a stream waits: an answer takes 3 ms between
// zones, twice that on a new connection, and the caller allows 700 ms without an event,
// within which the stream has to resume elsewhere.
const quickProbeTimeout = 100 * time.Millisecond

// awaitProbe reports whether the server answers the probe within quickProbeTimeout; true
// if the attempt ends first.
func (w *silenceWatch) awaitProbe(probe *probe) bool {
	select {
	case <-probe.done:
		return probe.alive
	case <-time.After(quickProbeTimeout):
		return false
	case <-w.ctx.Done():
		return true
	}
}

// countPause counts a silence beyond the bound as a pause of a live server. If every
// pause during a prompt is longer than the bound, none would ever be seen otherwise,
// since most end on another server. How much longer the silence lasts is not counted: a
// stream that is preempted for seconds says nothing about pauses.
func (w *silenceWatch) countPause(silence time.Duration) {
	if w.pauseCounted {
		return
	}
	w.pauseCounted = true
	w.pace().pauses.observe(w.normalized(silence))
}

// translate returns the error of an attempt. If the watch closed the connection because
// the server is lost, err is only the consequence and is replaced by ErrServerLost.
func (w *silenceWatch) translate(err error) error {
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

// stop ends the watch and the context of the attempt.
func (w *silenceWatch) stop() {
	w.cancel(context.Canceled)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}
