package exchange

import (
	"fmt"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// estimate is when a stream is expected to be whole at a server.
type estimate struct {
	first, end time.Duration // from now to the first event, to the last one
	// What it rests on.
	unread int64   // prompt tokens ahead
	speed  float64 // prompt tokens a second
	duty   float64 // share of the server's time spent with reading prompts
}

// How long a stream may be expected to take, as a share of the time left. What
// is expected comes true within a quarter: streams are of 0.63 to 1.45 times the
// mean length, and prompts yet to come are foreseen from those of the last ten
// seconds.
const (
	// idleShare holds where no prompt lies ahead. It errs towards sending: a prompt
	// sent in vain there costs no other stream its time.
	idleShare = 1.25
	// queueShare holds behind others' prompts. While more comes than servers can
	// finish, their queues grow until the estimate reaches this share, and every
	// stream takes as long: at 1.25 all were late, though each server worked
	// without a pause.
	queueShare = 0.9
)

// fits tells whether the stream may still be whole in the time left.
func (t estimate) fits(left time.Duration) bool {
	share := queueShare
	if t.unread == 0 {
		share = idleShare
	}
	return float64(t.end) <= share*float64(left)
}

// reads tells whether the prompt may be read in the time left.
func (t estimate) reads(left time.Duration) bool { return float64(t.first) <= idleShare*float64(left) }

// LateError says that no server is expected to finish a request in its time.
type LateError struct {
	soonest estimate
	left    time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	t := e.soonest
	return fmt.Sprintf("exchange: no backend server would finish in time: at the best one the first event comes after %v, the last after %v, %v are left"+
		" (%d prompt tokens ahead, %.0f read a second, %.0f%% of its time)", t.first, t.end, e.left, t.unread, t.speed, 100*t.duty)
}

// retryAfter is the time by which the servers' backlog is too long, which is
// when a new request could be served.
func (e *LateError) retryAfter() time.Duration { return max(retryAfter, e.soonest.end-e.left) }

// estimate tells when the stream would be whole at a server that has to read its
// prompt. Without measurements it reports false.
func (s *stream) estimate(server *directory.Server, now time.Time) (estimate, bool) {
	p := s.e.paceOf(s.req.Service)
	t := estimate{unread: server.QueuedTokens(), speed: s.e.opts.Directory.PrefillSpeed(server, now), duty: server.Utilization(now)}
	if t.speed == 0 {
		return t, false
	}
	tokens := float64(t.unread + int64(s.unread(server)))
	t.first = time.Duration(tokens / t.speed * float64(time.Second))
	t.end = t.first + time.Duration(s.eventsLeft(p)*server.Slowness()*float64(p.event(t.duty)))
	p.reads(t.speed)
	return t, true
}

// fits tells whether the stream may be whole in time at a server; one without
// measurements gets it.
func (s *stream) fits(server *directory.Server, now time.Time) bool {
	t, measured := s.estimate(server, now)
	return !measured || t.fits(s.req.left(now))
}

// eventsLeft returns how many events of the stream are expected.
func (s *stream) eventsLeft(p *pace) float64 {
	return max(0, p.events(s.req.MaxTokens)-float64(s.last))
}

// worthTrial tells whether a trial of a server may end well: the stream has most of
// its time, or would be whole if the server read as fast as any has.
func (s *stream) worthTrial(now time.Time) bool {
	left := s.req.left(now)
	if left >= time.Duration(trialShare*float64(s.req.Route.Timeout)) {
		return true
	}
	p := s.e.paceOf(s.req.Service)
	reading := time.Duration(float64(s.req.PromptTokens) / p.fastest() * float64(time.Second))
	return reading+time.Duration(s.eventsLeft(p)*float64(p.event(0))) <= left
}

// trialShare of a route's time is enough for a trial whatever is known of its servers.
const trialShare = 0.5

// inTime chooses the server for a prompt that has to be read.
//
// While servers read more slowly than prompts come in, each takes on what it can finish
// and the rest is refused at once, so that queues do not grow to the deadline.
func (s *stream) inTime() (*directory.Server, error) {
	now := time.Now()
	server := s.pick()
	if server == nil || s.fits(server, now) {
		return server, nil
	}
	mayTry := s.current == nil && s.worthTrial(now)
	if t, _ := s.estimate(server, now); mayTry && !t.reads(s.req.left(now)) && server.GrantTrial(now) {
		s.e.opts.Recorder.Emit(EventTrial, event.FieldRequest, s.req.ID, "server", server.ID, "err", &LateError{soonest: t, left: s.req.left(now)})
		return server, nil
	}
	end := func(other *directory.Server) time.Duration {
		t, _ := s.estimate(other, now)
		return t.end
	}
	soonest := s.e.opts.Directory.Soonest(s.req.Service, s.tried, now, end)
	if soonest == nil {
		soonest = server
	}
	if s.fits(soonest, now) {
		return soonest, nil
	}
	t, _ := s.estimate(soonest, now)
	late := &LateError{soonest: t, left: s.req.left(now)}
	if mayTry && s.e.paceOf(s.req.Service).mayTry(now) {
		s.e.opts.Recorder.Emit(EventTrial, event.FieldRequest, s.req.ID, "server", soonest.ID, "err", late)
		return soonest, nil
	}
	return nil, late
}
