package exchange

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
)

// outcome is what a request's caller got.
type outcome string

// Outcomes.
const (
	outcomeServed     outcome = "served"
	outcomeRefused    outcome = "refused"     // not run, and its caller was told so
	outcomeFailed     outcome = "failed"      // it may have run
	outcomeCallerLeft outcome = "caller_left" // the caller closed its connection
	outcomeCallerLost outcome = "caller_lost" // its connection was reset or went dead
	outcomeCut        outcome = "cut"         // by this process's stop
	outcomeTurnedAway outcome = "turned_away" // by its content alone
)

// noKind counts requests that have no route.
const noKind = "none"

func (m *metrics) ended(kind string, what outcome, by EndedBy) {
	m.requests.WithLabelValues(kind, string(what), string(by)).Inc()
}

// Refused counts a request that was refused before it was handed on; route is
// nil if it isn't known yet.
func (e *Exchange) Refused(route *site.Route, by EndedBy) {
	kind := noKind
	if route != nil {
		kind = route.Kind.String()
	}
	e.metrics.ended(kind, outcomeRefused, by)
}

// TurnedAway counts a request that is wrong in itself, or has no route.
func (e *Exchange) TurnedAway(by EndedBy) { e.metrics.ended(noKind, outcomeTurnedAway, by) }

// concluded logs and counts how a request ended, with the configuration that
// routed it and the list of servers known now.
func (e *Exchange) concluded(req *Request, status int, err error, more func() []any) {
	took := time.Since(req.Arrived)
	kind := req.Route.Kind.String()
	line := append([]any{event.FieldRequest, req.ID, "route", req.Route.Name, "kind", kind, "service", req.Service,
		"organisation", req.Organisation, "version", req.Version, "list", e.opts.Directory.View().Position, "took", took}, more()...)
	by, what, kindOfEvent := conclusion(status, err)
	e.metrics.ended(kind, what, by)
	if what == outcomeServed {
		e.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	}
	line = append(line, event.FieldEndedBy, by)
	if err != nil {
		line = append(line, "err", err)
	}
	e.opts.Recorder.Emit(kindOfEvent, line...)
}

// conclusion translates a request's error; without one it got its whole answer,
// which may be a backend server's own failure.
func conclusion(status int, err error) (EndedBy, outcome, event.Kind) {
	var failure *Failure
	var end *End
	switch {
	case err == nil && status >= http.StatusInternalServerError:
		return EndedByServer, outcomeServed, EventServed
	case err == nil:
		return EndedByAnswer, outcomeServed, EventServed
	case errors.As(err, &failure) && !failure.Ran:
		return failure.By, outcomeRefused, EventRefused
	case errors.As(err, &failure):
		return failure.By, outcomeFailed, EventFailed
	case errors.As(err, &end) && end.By == EndedByStop:
		return end.By, outcomeCut, EventCut
	case errors.As(err, &end) && end.By == EndedByCallerLink:
		return end.By, outcomeCallerLost, EventCallerLost
	case errors.As(err, &end):
		return end.By, outcomeCallerLeft, EventCallerLeft
	default:
		return failedBy(err), outcomeFailed, EventFailed
	}
}
