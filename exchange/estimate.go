package exchange

import (
	"fmt"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/promptcache"
)

// estimate says when a stream is expected to be complete on a server.
type estimate struct {
	first, end time.Duration // from now to the first event, to the last one
	// promptKept is set if the server has the prompt cached, but for its last block.
	promptKept bool
	// readsAgain is set if the caller has events already and the prompt is to be read once more.
	readsAgain bool
	// What it is based on.
	unread      int64   // prompt tokens queued at the server
	speed       float64 // prompt tokens read per second
	utilization float64 // share of the server's time spent reading prompts
}

// Shares of the time left that an estimate may take up for the stream to be sent.
// Estimates are accurate to a quarter: streams are 0.63 to 1.45 times as long as the
// mean, and future prompts are extrapolated from those of the last ten seconds.
const (
	// idleShare applies where no prompt is queued, or where the prompt is kept. It errs
	// towards sending: a stream sent in vain there makes no other wait for its prompt.
	idleShare = 1.25
	// queueShare applies behind other prompts. While more prompts arrive than servers
	// can finish, queues grow until the estimate reaches this share, and every stream
	// takes as long: at 1.25 all of them were late, although each server worked without
	// a pause.
	queueShare = 0.9
)

// fits reports whether the stream may still be complete in the time left.
func (e estimate) fits(left time.Duration) bool {
	share := queueShare
	if e.promptKept || e.unread == 0 && !e.readsAgain {
		share = idleShare
	}
	return float64(e.end) <= share*float64(left)
}

// readsInTime reports whether the prompt may be read in the time left.
func (e estimate) readsInTime(left time.Duration) bool {
	return float64(e.first) <= idleShare*float64(left)
}

// LateError says that no server is expected to finish a request in time.
type LateError struct {
	soonest estimate
	left    time.Duration
}

// Error implements error.
func (e *LateError) Error() string {
	est := e.soonest
	return fmt.Sprintf("exchange: no backend server would finish in time: at the best one the first event comes after %v, the last after %v, %v are left"+
		" (%d prompt tokens ahead, %.0f read a second, %.0f%% of its time)", est.first, est.end, e.left, est.unread, est.speed, 100*est.utilization)
}

// retryAfter returns by how much the servers' backlog is too long, which is when a new
// request could be served.
func (e *LateError) retryAfter() time.Duration { return max(retryAfter, e.soonest.end-e.left) }

// estimate returns when the stream would be complete on a server that has to read its
// prompt. Without measurements it returns false.
func (s *stream) estimate(server *directory.Server, now time.Time) (estimate, bool) {
	p := s.e.paceFor(s.req.Service)
	est := estimate{unread: server.QueuedTokens(), speed: s.e.opts.Directory.PrefillSpeed(server, now), utilization: server.Utilization(now)}
	if est.speed == 0 {
		return est, false
	}
	est.promptKept = s.keepsPrompt(server)
	est.readsAgain = s.lastEvent > 0 && !est.promptKept
	tokens := float64(est.unread + int64(s.unreadTokens(server)))
	est.first = time.Duration(tokens / est.speed * float64(time.Second))
	est.first = time.Duration(float64(est.first) * server.DisturbanceFactor(est.first, now))
	events := s.eventsLeft(p)
	if est.readsAgain {
		events = s.meanEventsLeft(p)
	}
	est.end = est.first + time.Duration(events*server.Slowness()*float64(p.eventTime(est.utilization)))
	p.observeSpeed(est.speed)
	return est, true
}

// fits reports whether the stream may be complete in time on a server. It is true for a
// server without measurements.
func (s *stream) fits(server *directory.Server, now time.Time) bool {
	est, measured := s.estimate(server, now)
	return !measured || est.fits(s.req.timeLeft(now))
}

// eventsLeft returns how many more events of the stream are expected, unless it is among the
// shortest.
func (s *stream) eventsLeft(p *pace) float64 {
	return max(0, p.expectedEvents(s.req.MaxTokens)-float64(s.lastEvent))
}

// meanEventsLeft returns how many more events of the stream are expected if it is as long as
// the mean. A prompt that is read again slows the streams beside it down to a fifth of their
// pace, and many callers come back at once after a loss: the servers' time goes to streams
// that will probably be whole.
func (s *stream) meanEventsLeft(p *pace) float64 {
	return max(0, p.meanEvents(s.req.MaxTokens)-float64(s.lastEvent))
}

// keepsPrompt reports whether a server is known to have the stream's prompt cached.
func (s *stream) keepsPrompt(server *directory.Server) bool {
	cached := s.cachedTokens[server.Start]
	return cached > 0 && cached >= promptcache.Sufficient(s.req.Prompt)
}

// worthTrial reports whether a trial of a server can succeed: the stream has at least
// trialShare of its route's timeout left, or would be complete if the server read as
// fast as any has.
func (s *stream) worthTrial(now time.Time) bool {
	left := s.req.timeLeft(now)
	if left >= time.Duration(trialShare*float64(s.req.Route.Timeout)) {
		return true
	}
	p := s.e.paceFor(s.req.Service)
	reading := time.Duration(float64(s.req.PromptTokens) / p.fastest() * float64(time.Second))
	return reading+time.Duration(s.eventsLeft(p)*float64(p.eventTime(0))) <= left
}

// trialShare of a route's timeout is taken to be enough for a trial, whatever has been
// measured of its servers.
const trialShare = 0.5

// pickInTime chooses the server for a prompt that has to be read. It returns nil without
// an error if there is no server, and a *LateError if none is expected to finish in time.
// A stream that would be late may be sent nevertheless, as a trial that measures a
// server's speed again. That of a caller that comes back measures nothing.
//
// While prompts arrive faster than servers read them, each server accepts what it can
// finish and the rest is refused at once. Otherwise the wait in the queues would grow up
// to the streams' deadlines.
func (s *stream) pickInTime() (*directory.Server, error) {
	now := time.Now()
	server := s.pick()
	if server == nil || s.fits(server, now) {
		return server, nil
	}
	mayTry := s.current == nil && s.req.LastEvent == "" && s.worthTrial(now)
	if est, _ := s.estimate(server, now); mayTry && !est.readsInTime(s.req.timeLeft(now)) && server.GrantTrial(now) {
		s.e.opts.Recorder.Emit(EventTrial, event.FieldRequest, s.req.ID, "server", server.ID, "err", &LateError{soonest: est, left: s.req.timeLeft(now)})
		return server, nil
	}
	end := func(other *directory.Server) time.Duration {
		est, _ := s.estimate(other, now)
		return est.end
	}
	soonest := s.e.opts.Directory.Soonest(s.withMemory(directory.Query{Service: s.req.Service, Exclude: s.tried, Admits: s.admits()}), now, end)
	if soonest == nil {
		soonest = server
	}
	if s.fits(soonest, now) {
		return soonest, nil
	}
	est, _ := s.estimate(soonest, now)
	late := &LateError{soonest: est, left: s.req.timeLeft(now)}
	if mayTry && s.e.paceFor(s.req.Service).takeTrial(now) {
		s.e.opts.Recorder.Emit(EventTrial, event.FieldRequest, s.req.ID, "server", soonest.ID, "err", late)
		return soonest, nil
	}
	return nil, late
}
