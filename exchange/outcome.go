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
	outcomeCallerLost outcome = "caller_lost" // its connection was reset or timed out
	outcomeCut        outcome = "cut"         // cut off by this process's stop
	outcomeTurnedAway outcome = "turned_away" // invalid in itself, or without a route
)

// noKind is the kind of requests that have no route.
const noKind = "none"

func (m *metrics) countEnd(kind string, result outcome, by EndedBy) {
	m.requests.WithLabelValues(kind, string(result), string(by)).Inc()
}

// Refused counts a request that was refused before it was forwarded; route is nil if it
// isn't known yet.
func (e *Exchange) Refused(route *site.Route, by EndedBy) {
	kind := noKind
	if route != nil {
		kind = route.Kind.String()
	}
	e.metrics.countEnd(kind, outcomeRefused, by)
}

// TurnedAway counts a request that is invalid in itself, or has no route.
func (e *Exchange) TurnedAway(by EndedBy) { e.metrics.countEnd(noKind, outcomeTurnedAway, by) }

// conclude logs and counts how a request ended, with the version of the configuration
// that routed it and the position of the list of servers known now. more returns further
// fields of the log line.
func (e *Exchange) conclude(req *Request, status int, err error, more func() []any) {
	took := time.Since(req.Arrived)
	kind := req.Route.Kind.String()
	line := append([]any{event.FieldRequest, req.ID, "route", req.Route.Name, "kind", kind, "service", req.Service,
		"organisation", req.Organisation, "version", req.Version, "list", e.opts.Directory.View().Position, "took", took}, more()...)
	by, result, eventKind := classify(status, err)
	e.metrics.countEnd(kind, result, by)
	if result == outcomeServed {
		e.metrics.duration.WithLabelValues(kind).Observe(took.Seconds())
	}
	line = append(line, event.FieldEndedBy, by)
	if err != nil {
		line = append(line, "err", err)
	}
	e.opts.Recorder.Emit(eventKind, line...)
}

// classify derives from a request's error which side ended it, its outcome and its
// event. Without an error the request got its complete response, which may be a backend
// server's own error.
func classify(status int, err error) (EndedBy, outcome, event.Kind) {
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
