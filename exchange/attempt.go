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
)

// streamAttempt is one sending of a stream to one server. A goroutine reads what
// the server sends and hands it on step by step; all else is done by the stream
// that the attempt belongs to.
type streamAttempt struct {
	server *directory.Server
	from   *Memory               // what it goes on from; nil: it reads the prompt
	copies copyKeeper            // where its memory is copied to
	load   *directory.StreamLoad // its share of the server's load
	watch  *watch
	steps  chan step
	heard  bool         // it has brought an event
	offer  atomic.Int32 // what became of its copy: one of the offer constants

	over     chan struct{} // closed when nobody takes its steps any more
	overOnce sync.Once
}

// What became of an attempt's copy.
const (
	offerNone   = iota // it is where it was placed
	offerOpen          // it was taken to offer the stream to another server
	offerUnused        // the same, and the stream stayed: there is no copy now
)

// step is what an attempt's server has sent.
type step struct {
	answer *Answer     // the head that an event or the end belongs to
	event  streamEvent // if err is nil and there is no reply
	reply  *Reply      // an answer that is no stream
	err    error       // io.EOF: the stream ended whole
	fault  *Fault      // the program panicked while it read
}

// Fault is a panic of a goroutine that works beside a request's own. It is raised
// again there: a goroutine of its own would end the process, with all that runs
// through it.
type Fault struct {
	Why   any
	Stack []byte // where it happened
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprint(f.Why) }

// launch sends the stream to a server.
func (s *stream) launch(ctx context.Context, server *directory.Server, from *Memory) *streamAttempt {
	prompt := s.unread(server)
	if from != nil {
		prompt = 0
	} else {
		s.e.paceOf(s.req.Service).sent(time.Now())
	}
	a := &streamAttempt{
		server: server, from: from, copies: copyKeeper{free: s.e.freeCopy}, load: server.BeginStream(prompt),
		watch: newWatch(ctx, s.e, server), steps: make(chan step), over: make(chan struct{}),
	}
	sending := &Attempt{
		Request: s.req, Server: server, Left: s.req.left(time.Now()), After: s.after(), CopyTo: s.placeCopy(a), From: from,
	}
	go a.read(s.e.opts.Backend, sending)
	return a
}

// read hands on what the server sends until its end, or until nobody takes it.
func (a *streamAttempt) read(backend Backend, sending *Attempt) {
	defer func() {
		if why := recover(); why != nil {
			a.deliver(step{fault: &Fault{Why: why, Stack: debug.Stack()}})
		}
	}()
	answer, err := backend.Open(a.watch.ctx, sending)
	if err != nil {
		a.deliver(step{err: a.watch.explain(err)})
		return
	}
	defer answer.Body.Close()
	if answer.Status >= 300 || answer.Status < 200 {
		reply, err := whole(answer)
		if a.deliver(step{reply: reply, err: err}) && err == nil && reply.Rest != nil {
			<-a.over // the rest is read by whoever took the step
		}
		return
	}
	events := newEventReader(answer.Body)
	for {
		ev, err := events.next()
		if err != nil {
			a.deliver(step{answer: answer, err: a.ending(err)})
			return
		}
		a.watch.heard()
		a.server.MarkHeard(time.Now())
		ev.raw = bytes.Clone(ev.raw) // the next one is read while this is passed on
		if !a.deliver(step{answer: answer, event: ev}) {
			return
		}
		a.watch.listen()
	}
}

func (a *streamAttempt) ending(err error) error {
	if err == io.EOF {
		return err
	}
	return a.watch.explain(&BrokenError{Err: err})
}

// deliver reports whether the step was taken.
func (a *streamAttempt) deliver(st step) bool {
	select {
	case a.steps <- st:
		return true
	case <-a.over:
		return false
	}
}

// end ends the attempt at its server and takes it off the load. Its copy stays
// until it is taken or dropped.
func (a *streamAttempt) end() {
	a.overOnce.Do(func() { close(a.over) })
	a.watch.end()
	a.load.End()
}
