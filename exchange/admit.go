package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pearyard/pearyard/admission"
	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

const (
	// nextInterval is how often the next stream to start looks at the servers' load; a
	// random time up to as much again is added, so that processes don't do so at once.
	nextInterval = 25 * time.Millisecond
	// behindInterval is how often a stream that others go before finds out whether it would
	// begin too late.
	behindInterval = 200 * time.Millisecond
	// stopRetryAfter is the Retry-After of a stream that waited when a planned stop began.
	// Another process may serve it at once.
	stopRetryAfter = 100 * time.Millisecond
	// honouredShare of the time left is how long callers wait at most before they come back.
	honouredShare = 1.0 / 3
	// returnSlack is how long after their Retry-After refused callers are still expected.
	returnSlack = 3 * time.Second
	// objectiveShare of the time that a stream without an objective may take is taken for
	// its objective.
	objectiveShare = 0.5
)

// stopSignal tells streams that wait for their turn that a planned stop has begun.
type stopSignal struct {
	begun chan struct{}
	once  sync.Once
}

// StopWaiting refuses the streams that wait to be sent to a server, and from now on those
// that would have to. They have not run, and another process may serve them.
func (e *Exchange) StopWaiting() { e.stop.once.Do(func() { close(e.stop.begun) }) }

// OverloadError says that a stream is expected to begin after its objective, behind others.
type OverloadError struct {
	Rank, Ranks int
	Objective   time.Duration
	Waited      time.Duration
	outlook     admission.Outlook
	decision    admission.Decision
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("exchange: the stream would begin too late behind others: expected after %v, its objective is %v (rank %d of %d, waited %v; at the best server %v, up to %v allowed; %d ahead, class waits for %v)",
		e.decision.Expected, e.Objective, e.Rank, e.Ranks, e.Waited, e.outlook.First, e.decision.Limit, e.outlook.Ahead, e.outlook.Closed)
}

// Unwrap returns ErrNoMemory if that is why the stream could not start.
func (e *OverloadError) Unwrap() error {
	if !e.outlook.Room {
		return ErrNoMemory
	}
	return nil
}

// retryAfter returns when the caller may come back, but no later than callers do.
func (e *OverloadError) retryAfter(r *Request, now time.Time) time.Duration {
	return min(e.decision.RetryAfter, max(retryAfter, time.Duration(honouredShare*float64(r.Deadline.Sub(now)))))
}

func (e *Exchange) queue(service string) *admission.Queue {
	if q, ok := e.queues.Load(service); ok {
		return q.(*admission.Queue)
	}
	q, _ := e.queues.LoadOrStore(service, &admission.Queue{})
	return q.(*admission.Queue)
}

// Waiting returns, by service, how many streams of each rank wait to be sent to a server.
func (e *Exchange) Waiting() map[string][]int {
	waiting := map[string][]int{}
	e.queues.Range(func(service, q any) bool {
		waiting[service.(string)] = q.(*admission.Queue).Waiting()
		return true
	})
	return waiting
}

// offer returns what admission knows of the stream.
func (s *stream) offer() admission.Offer {
	r := s.req
	rank := r.Competition.Rank(r.Urgency)
	_, bound := s.versionBoundTo()
	o := admission.Offer{
		Rank: rank, Ranks: r.Competition.Ranks(), Objective: r.Route.Objective, Arrived: r.Arrived,
		Retried: s.refused > 0, Returns: s.e.opts.Refusals != nil && s.e.opts.Refusals.Returns(s.active.fingerprint), Bound: bound, Spread: s.spread,
	}
	if rank > 0 {
		o.UrgentObjective = r.Competition.TightestObjective(rank - 1)
	}
	if o.Objective <= 0 {
		o.Objective = time.Duration(objectiveShare * float64(r.Deadline.Sub(r.Arrived)))
	}
	return o
}

// goesOn reports whether the stream goes on after a loss, or its caller has events already.
func (s *stream) goesOn() bool {
	return s.ran > 0 || s.lastEvent > 0 || s.req.LastEvent != "" || s.headSent
}

// outlook returns what is expected of the servers; false: none is available at all.
func (s *stream) outlook(now time.Time) (admission.Outlook, bool) {
	server := s.pick()
	if server == nil {
		return admission.Outlook{}, s.anyAvailable(now)
	}
	est, measured := s.estimate(server, now)
	l := admission.Outlook{Room: true, Measured: measured, Backlog: est.unread > 0, First: s.e.paceFor(s.req.Service).likelyFirst(est.first)}
	if measured {
		l.Reading = time.Duration(float64(s.unreadTokens(server)) / est.speed * float64(time.Second))
	}
	return l, true
}

// expectedFirst returns the estimated time to the first event at a server; 0: it isn't known,
// or nobody asks.
func (s *stream) expectedFirst(server *directory.Server, now time.Time) time.Duration {
	if s.req.Competition == nil {
		return 0
	}
	est, _ := s.estimate(server, now)
	return est.first
}

// anyAvailable reports whether a server could be chosen if it had room.
func (s *stream) anyAvailable(now time.Time) bool {
	admits := s.admits()
	for _, server := range s.e.opts.Directory.Healthy(s.req.Service, now) {
		if !s.tried[server.Start] && (admits == nil || admits(server)) {
			return true
		}
	}
	return false
}

// awaitAdmission returns when it is the stream's turn to be sent to a server; at once if no
// classes compete for the service's servers. The error is an *OverloadError if the stream
// would begin too late.
func (s *stream) awaitAdmission(ctx context.Context) error {
	if s.req.Competition == nil || s.goesOn() {
		return nil
	}
	began := time.Now()
	offer := s.offer()
	m := s.e.metrics.admission.of(offer.Rank)
	ticket := s.e.queue(s.req.Service).Enter(offer, began)
	defer ticket.Leave()
	for waits := false; ; waits = true {
		now := time.Now()
		look, available := s.outlook(now)
		if !available {
			return nil // whoever chooses the server waits for one
		}
		look.UrgentHeld = s.e.holdsBackBefore(s.req.Service, offer.Rank)
		d, l := ticket.Decide(look, now)
		if d.Verdict != admission.Start && !offer.Bound {
			s.e.reportHeldBack(s.req.Service, offer.Rank)
		}
		switch d.Verdict {
		case admission.Start:
			m.started(waits, now.Sub(began))
			return nil
		case admission.Refuse:
			m.refuse(now.Sub(began))
			return s.notAdmitted(offer, l, d, now)
		}
		if !waits {
			m.wait()
			defer m.waitEnded()
		}
		if err := s.awaitLook(ctx, ticket); err != nil {
			return err
		}
		clear(s.tried) // a server that refused may have room by now
	}
}

// holdsBackBefore reports whether another process holds back a stream that is more urgent than
// a rank.
func (e *Exchange) holdsBackBefore(service string, rank int) bool {
	if e.opts.Pressure == nil {
		return false
	}
	urgent, ok := e.opts.Pressure.MostUrgent(service)
	return ok && urgent < rank
}

// reportHeldBack tells other processes that this one holds back a stream of a rank.
func (e *Exchange) reportHeldBack(service string, rank int) {
	if e.opts.Pressure != nil {
		e.opts.Pressure.HoldBack(service, rank)
	}
}

// awaitLook waits until the stream is to be looked at again.
func (s *stream) awaitLook(ctx context.Context, t *admission.Ticket) error {
	interval := behindInterval
	if t.IsNext() {
		interval = nextInterval + rand.N(nextInterval)
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-s.e.stop.begun:
		return ErrStopping
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Turn():
	case <-timer.C:
	}
	if !s.req.hasTime(time.Now()) {
		return ErrNoTime
	}
	if s.isQuarantined() {
		return ErrQuarantined
	}
	return nil
}

func (s *stream) notAdmitted(o admission.Offer, l admission.Outlook, d admission.Decision, now time.Time) error {
	if s.e.opts.Refusals != nil {
		s.e.opts.Refusals.Record(s.active.fingerprint, now.Add(d.RetryAfter+returnSlack))
	}
	err := &OverloadError{Rank: o.Rank, Ranks: o.Ranks, Objective: o.Objective, Waited: now.Sub(o.Arrived), outlook: l, decision: d}
	s.e.opts.Recorder.Emit(EventNotAdmitted, event.FieldRequest, s.req.ID, "route", s.req.Route.Name, "rank", o.Rank, "ranks", o.Ranks,
		"expected", d.Expected, "objective", o.Objective, "waited", err.Waited, "first", l.First, "limit", d.Limit,
		"ahead", l.Ahead, "interval", l.Interval, "closed", l.Closed, "room", l.Room, "retry_after", err.retryAfter(s.req, now))
	return err
}
