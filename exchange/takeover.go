package exchange

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// silenceTimeout is how long a server may give no sign of life before an attempt there is
// ended though no other server takes the stream on. It must be longer than a full link
// of this VM keeps answers back, and leave the caller time to come back.
const silenceTimeout = 5 * time.Second

// errAbandoned: the request ended while its attempt was under way.
var errAbandoned = errors.New("exchange: the request ended before its answer")

// follow hands on what the current attempt's server sends until the stream is
// whole (nil) or the attempt is over. While that server is silent, the stream is
// offered to another one beside it.
//
// Silence alone ends nothing, since a server that pauses for other prompts is as silent
// as a lost one: an attempt goes on until another one has brought an event in its place,
// its connection breaks, or its server has given no sign of life for silenceTimeout.
//
// Invariant: events reach the caller from the current attempt alone, and an attempt
// that becomes the current one goes on after the caller's last event.
func (s *stream) follow(ctx context.Context) error {
	defer s.abandonNext()
	defer func() { s.current.end() }()
	for {
		select {
		case st := <-s.current.steps:
			done, err := s.fromCurrent(ctx, st)
			if done || err != nil {
				return err
			}
		case st := <-stepsOf(s.next):
			done, err := s.fromNext(ctx, st)
			if done || err != nil {
				return err
			}
		case n := <-s.current.watch.alerts:
			if err := s.silent(ctx, n); err != nil {
				return err
			}
		case <-s.retryAvailable:
			s.lookForNext(ctx)
		case <-ctx.Done():
			return &BrokenError{Err: errAbandoned}
		}
	}
}

// stepsOf returns the attempt's steps; none come without one.
func stepsOf(a *streamAttempt) <-chan step {
	if a == nil {
		return nil
	}
	return a.steps
}

// raise goes on with a panic of the goroutine that read the step.
func (st step) raise() {
	if st.fault != nil {
		panic(st.fault)
	}
}

// fromCurrent handles a step of the current attempt. If that is over, the one
// beside it is all that is left.
func (s *stream) fromCurrent(ctx context.Context, st step) (done bool, err error) {
	st.raise()
	if isEvent := st.err == nil && st.reply == nil; isEvent {
		s.wentOn()
	}
	done, err = s.take(ctx, st)
	var final *finalError
	if err == nil || s.next == nil || errors.As(err, &final) || ctx.Err() != nil {
		return done && err == nil, err
	}
	s.promote(err)
	return false, nil
}

// fromNext handles a step of the attempt that was begun beside a silent one.
func (s *stream) fromNext(ctx context.Context, st step) (done bool, err error) {
	st.raise()
	if err := s.unusable(st); err != nil {
		next := s.dropNext()
		s.note(next, err)
		s.lookForNext(ctx)
		return false, nil
	}
	s.promote(&BrokenError{Err: s.current.watch.silence()})
	return s.take(ctx, st)
}

// unusable tells why the stream can't go on with what the attempt beside the
// current one has sent; nil if it can. A server that begins anew, or ends without
// an event, must not take the place of one that is at work.
func (s *stream) unusable(st step) error {
	switch {
	case st.err == io.EOF:
		return &BrokenError{Err: ErrCut}
	case st.err != nil:
		return st.err
	case st.reply != nil && (s.begun || st.reply.Status >= 500):
		return &BrokenError{Err: errors.Errorf("the server answered %d", st.reply.Status)}
	case st.reply == nil:
		return s.follows(st.event)
	}
	return nil
}

// promote puts the attempt beside the current one in its place, for the reason given.
func (s *stream) promote(why error) {
	s.current.end()
	s.note(s.current, why)
	s.current.copies.close()
	s.current, s.next, s.quiet, s.waitsFor = s.next, nil, false, ""
	s.onItsWay.server.Store(s.current.server)
}

// wentOn is called when the current attempt brings an event: what was begun
// beside it is not needed.
func (s *stream) wentOn() {
	if !s.quiet {
		return
	}
	s.quiet, s.waitsFor = false, ""
	delete(s.tried, s.current.server.Start)
	s.e.opts.Recorder.Emit(EventWentOn, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
		"reached", s.last, "after", time.Since(s.quietSince()), "beside", s.next.name())
	s.abandonNext()
}

func (a *streamAttempt) name() string {
	if a == nil {
		return ""
	}
	return a.server.String()
}

// abandonNext ends the attempt beside the current one. It counts as a retry: its
// server may have begun with it.
func (s *stream) abandonNext() {
	if s.next == nil {
		return
	}
	s.dropNext()
	s.left++
	s.reached()
}

// dropNext ends the attempt beside the current one and gives up what it went on
// from. The current one gets another copy.
func (s *stream) dropNext() *streamAttempt {
	next := s.next
	s.next = nil
	next.end()
	next.copies.close()
	if next.from != nil {
		next.copies.giveUp(next.from)
		s.current.offer.Store(offerUnused)
	}
	return next
}

// silent is told that the current attempt's server sends nothing.
func (s *stream) silent(ctx context.Context, alert silenceAlert) error {
	if !s.current.watch.isSilent() {
		return nil // an event has come meanwhile
	}
	if !s.quiet {
		s.quiet = true
		s.e.opts.Recorder.Emit(EventSilent, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
			"reached", s.last, "silent", time.Since(s.quietSince()), "alive", alert.alive, "ahead", s.current.server.QueuedTokens(), "copy", idOf(s.current.copies.at()))
	}
	s.lookForNext(ctx)
	if s.next == nil && alert.unheard > s.patience() {
		return &BrokenError{Err: s.current.watch.silence()}
	}
	return nil
}

// patience is how long a server may give no sign of life while no other takes the
// stream on. A caller that has got nothing yet loses nothing by an answer that
// says so, and learns sooner that it may come back.
func (s *stream) patience() time.Duration {
	if s.begun || !s.mayTakeOver() {
		return silenceTimeout // or no other may run it
	}
	return budgetWait
}

// lookForNext begins an attempt beside the current one if a server is found for it.
//
// For want of budget it looks again a moment later: in a mass loss a process's part of
// it is spent at once and free again soon after.
func (s *stream) lookForNext(ctx context.Context) {
	s.retryAvailable = nil
	if !s.quiet || s.next != nil || !s.mayTakeOver() {
		return
	}
	server, from, err := s.successor()
	if server != nil {
		s.next = s.launch(ctx, server, from)
		return
	}
	s.notOffered(err)
	if errors.Is(err, ErrBudget) && time.Since(s.quietSince()) < budgetWait {
		s.retryAvailable = time.After(pickAgain)
	}
}

// notOffered tells why no other server goes on with a silent stream, once for each
// reason in a row: it is looked for every 50 ms.
func (s *stream) notOffered(why error) {
	reason := why.Error()
	var late *LateError
	if errors.As(why, &late) {
		reason = "late" // its text has the figures of the moment
	}
	if s.waitsFor == reason {
		return
	}
	s.waitsFor = reason
	s.e.opts.Recorder.Emit(EventNotOffered, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "server", s.current.server.Start,
		"reached", s.last, "silent", time.Since(s.quietSince()), "err", why)
}

// mayTakeOver tells whether one more server may run the stream beside the current one.
func (s *stream) mayTakeOver() bool {
	return s.req.Route.Resumable && s.ran+s.left+1 < s.req.Route.Attempts() && s.turnedDown < 2*notRunTries
}

// errSooner: the server lives, and the prompt would not be read sooner elsewhere.
var errSooner = errors.New("exchange: the silent server lives and is expected to go on sooner than another could")

// successor returns the server that is to go on with the stream of a silent one;
// nil and why, if there is none now.
func (s *stream) successor() (*directory.Server, *Memory, error) {
	if !s.req.hasTime(time.Now()) {
		return nil, nil, ErrNoTime
	}
	s.tried[s.current.server.Start] = true
	if !s.current.watch.alive() {
		s.lostZone = s.current.server.Zone
	}
	if s.current.heard && s.hasCopy() { // memory is copied once there is an event
		if !s.tryReserveRetry() {
			return nil, nil, ErrBudget
		}
		s.current.offer.Store(offerOpen)
		m := s.current.copies.take()
		return m.At, m, nil
	}
	server, err := s.inTime()
	switch {
	case err != nil:
		return nil, nil, err
	case server == nil:
		return nil, nil, ErrNoServer
	case !s.worthReading(server):
		return nil, nil, errSooner
	}
	if !s.tryReserveRetry() {
		return nil, nil, ErrBudget
	}
	return server, nil, nil
}

// worthReading tells whether the prompt is to be read again at another server
// while the current one may still go on. A server that lives does so in the end:
// the prompt would be read twice, and hold up the other server's streams, for an
// answer that is late by then in either way. Once it has been silent for longer
// than any sound server, it is.
func (s *stream) worthReading(server *directory.Server) bool {
	quiet := time.Since(s.quietSince())
	if !s.current.watch.alive() || !s.current.heard || quiet >= maxSilence {
		return true
	}
	t, measured := s.estimate(server, time.Now())
	gap := s.req.Route.MaxGap
	return !measured || gap <= 0 || quiet+t.first <= gap
}

// tryReserveRetry is reserveRetry without a wait: the current attempt may go on any moment.
func (s *stream) tryReserveRetry() bool {
	if !s.reserved {
		s.reserved = s.e.allowRetry(s.req.Service)
	}
	return s.reserved
}
