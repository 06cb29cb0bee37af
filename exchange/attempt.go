package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/rollout"
)

// streamAttempt is one delivery of a stream to one server. A goroutine reads what the
// server sends and passes it on as steps; everything else is done by the stream that
// owns the attempt.
type streamAttempt struct {
	server *directory.Server
	run    *trackedRun // nil once its crash is judged, which ends it
	from   *KVCopy     // copy to resume from; nil: the server reads the prompt
	// sourceReleased is set once from has been freed.
	sourceReleased bool
	copies         copyTracker           // where its KV cache is copied to
	load           *directory.StreamLoad // its share of the server's load
	memory         *directory.MemoryHold // its share of the server's memory
	watch          *silenceWatch
	steps          chan step
	gotEvent       bool // an event has been received
	// When it was sent and when its first event came, and the number of its events so far.
	sentAt, firstEventAt time.Time
	events               int
	pending              *rollout.Pending // until the first event
	expectedFirst        time.Duration    // estimated time from sentAt to the first event; 0: not known
	copyState            atomic.Int32     // copyPlaced, copyTaken or copyUsedUp
	sent                 chan struct{}    // closed when the request is about to be sent
	requestSentAt        time.Time        // when sent was closed
	sentHandled          bool             // the stream has handled that
	tookOver             bool             // it replaced an attempt at a silent server
	isRetry              bool             // it was taken from the retry budget

	done     chan struct{} // closed when its steps are no longer received
	doneOnce sync.Once
	closed   chan struct{} // closed when its connection has been closed or returned to the pool
}

// States of the copy of an attempt's KV cache.
const (
	copyPlaced = iota // the attempt's copyTracker has it, if there is one
	copyTaken         // a successor was asked to resume from it
	copyUsedUp        // a successor that refused was to resume from it: another copy is needed
)

// step is one item that an attempt's server has sent.
type step struct {
	answer   *Answer     // response head that the event or the end belongs to
	event    streamEvent // valid if err and reply are nil
	reply    *Reply      // a response that is not a stream
	err      error       // io.EOF: the stream is complete
	panicked *PanicError // a panic of the reading goroutine
}

// PanicError is a panic of a goroutine that works on behalf of a request. It is raised
// again on the request's own goroutine: unrecovered, it would end the process with all
// requests that it serves.
type PanicError struct {
	Value any
	Stack []byte // where the panic happened
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprint(e.Value) }

// launch starts an attempt at a server, which resumes from a copy of the KV cache unless
// from is nil. The attempt ends the run.
func (s *stream) launch(ctx context.Context, server *directory.Server, from *KVCopy, run *trackedRun) *streamAttempt {
	prompt := s.unreadTokens(server)
	if from != nil {
		prompt = 0
	} else {
		s.e.paceFor(s.req.Service).recordSent(time.Now())
	}
	s.versions.Sent(server)
	a := &streamAttempt{
		expectedFirst: s.expectedFirst(server, time.Now()),
		server:        server, run: run, from: from, sentAt: time.Now(), pending: s.versions.Started(s.req.Route.Name, server), copies: copyTracker{free: s.e.freeCopy, tokens: s.memory.tokens(s.lastEvent), ttl: s.memory.keptFor()}, load: server.BeginStream(prompt),
		memory:  server.HoldMemory(s.memory.tokens(s.lastEvent)),
		isRetry: s.retryReserved,
		watch:   newWatch(ctx, s.e, server, s.req.Route.MaxGap, from != nil), steps: make(chan step), done: make(chan struct{}), closed: make(chan struct{}), sent: make(chan struct{}),
	}
	s.retryReserved = false
	attempt := &Attempt{
		Request: s.req, Server: server, Timeout: s.req.timeLeft(time.Now()), ResumeAfter: s.resumeAfter(), CopyTo: s.placeCopy(a), ResumeFrom: from,
		OnSend: sync.OnceFunc(a.markSent),
	}
	go a.read(s.e.opts.Backend, attempt)
	return a
}

// markSent records that the request is about to be sent.
func (a *streamAttempt) markSent() {
	a.requestSentAt = time.Now()
	close(a.sent)
}

// read delivers what the server sends, until the response ends or the steps are no
// longer received.
func (a *streamAttempt) read(backend Backend, attempt *Attempt) {
	defer close(a.closed)
	defer func() {
		if value := recover(); value != nil {
			a.deliver(step{panicked: &PanicError{Value: value, Stack: debug.Stack()}})
		}
	}()
	answer, err := backend.Open(a.watch.ctx, attempt)
	if err != nil {
		a.deliver(step{err: a.watch.translate(err)})
		return
	}
	defer answer.Body.Close()
	if answer.Status >= 300 || answer.Status < 200 {
		reply, err := a.watch.e.readReply(answer)
		if a.deliver(step{reply: reply, err: err}) && err == nil && reply.Rest != nil {
			<-a.done // the rest is read by the receiver of the step
		}
		return
	}
	events := newEventReader(answer.Body)
	for {
		ev, err := events.next()
		if err != nil {
			a.deliver(step{answer: answer, err: a.endError(err)})
			return
		}
		a.watch.eventReceived()
		a.server.MarkHeard(time.Now())
		ev.raw = bytes.Clone(ev.raw) // the next event is read while this one is forwarded
		if !a.deliver(step{answer: answer, event: ev}) {
			return
		}
		a.watch.awaitEvent()
	}
}

// endError returns the error of a response that ended with err: io.EOF if it is complete,
// a *BrokenError otherwise.
func (a *streamAttempt) endError(err error) error {
	if err == io.EOF {
		return err
	}
	return a.watch.translate(&BrokenError{Err: err})
}

// deliver hands a step to the stream and reports whether it was received.
func (a *streamAttempt) deliver(st step) bool {
	select {
	case a.steps <- st:
		return true
	case <-a.done:
		return false
	}
}

// end stops the attempt and removes it from the server's load. Its copy stays until it
// is taken or dropped.
func (a *streamAttempt) end() {
	a.doneOnce.Do(func() { close(a.done) })
	a.watch.stop()
	a.load.End()
	a.memory.End()
	a.pending.Done()
}

// close ends the attempt and waits until its connection is closed.
func (a *streamAttempt) close() {
	a.end()
	<-a.closed
}

// releaseSource frees the copy that the attempt was to resume from: its server has refused, or
// the stream has ended before.
func (a *streamAttempt) releaseSource() {
	if !a.sourceReleased {
		a.sourceReleased = true
		a.copies.release(a.from)
	}
}
