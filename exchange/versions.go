package exchange

import (
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/rollout"
)

// pick chooses a server among the versions that the request is assigned to. A request
// that was chosen for a version on trial goes to the established ones if no server of that
// version is available.
func (e *Exchange) pick(q directory.Query, a *rollout.Assignment) *directory.Server {
	now := time.Now()
	if trial := a.AdmitsTrial(); trial != nil {
		q.Admits = trial
		if s := e.opts.Directory.Pick(q, now); s != nil {
			return s
		}
	}
	q.Admits = a.Admits()
	return e.opts.Directory.Pick(q, now)
}

// pickFor returns the server for a query among the versions that may run the stream.
func (s *stream) pickFor(q directory.Query) *directory.Server {
	if _, bound := s.versionBoundTo(); bound {
		q.Admits = s.admits()
		return s.e.opts.Directory.Pick(q, time.Now())
	}
	return s.e.pick(q, s.versions)
}

// observeAnswer records how the response to a plain request ended, and how long it took.
// The time of an error says nothing about that of an answer.
func (c *call) observeAnswer(r result) {
	o := rollout.Observation{Ended: true}
	switch {
	case r.err != nil:
		o = brokenObservation(r.server, r.err)
	case r.reply.Status >= 500:
		o.Failed = true
	default:
		o.First = r.took
	}
	c.versions.Observe(c.req.Route.Name, r.server, o)
}

// brokenObservation returns what an attempt without a complete response shows of its
// server's version. Attempts that did not run, or whose server asked for rest or is lost, show
// nothing: that happens with every version.
func brokenObservation(s *directory.Server, err error) rollout.Observation {
	var notRun *NotRunError
	if errors.As(err, &notRun) || askedForRest(err) || errors.Is(err, ErrServerLost) || s.IsDown(time.Now()) {
		return rollout.Observation{}
	}
	return rollout.Observation{Ended: true, Failed: true}
}

// observeEvent records the times of an attempt's first events.
func (s *stream) observeEvent(a *streamAttempt) {
	now := time.Now()
	a.events++
	switch a.events {
	case survivalEvents:
		s.e.opts.Suspects.RecordProgress(s.active.fingerprint)
	case 1:
		a.firstEventAt = now
		a.pending.Done()
		s.versions.Observe(s.req.Route.Name, a.server, rollout.Observation{First: now.Sub(a.sentAt)})
	case rollout.PaceEvents + 1:
		s.versions.Observe(s.req.Route.Name, a.server, rollout.Observation{Pace: now.Sub(a.firstEventAt)})
	}
}
