package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
)

const (
	// comeBackShare of the time that a caller will wait is when it may come
	// back to a process that knows no configuration yet. Callers come back once
	// or twice only, and the store may be away for seconds.
	comeBackShare = 0.25
	maxComeBack   = 2500 * time.Millisecond
	// listWait is when a caller may come back to a process that knows its
	// configuration but no servers yet. It covers a long list over a slow link:
	// sooner, callers would use up their retries before the list is there.
	listWait = 1300 * time.Millisecond
	// elsewhere is told to callers of a process that is about to stop: their
	// next connection goes to another one.
	elsewhere = 150 * time.Millisecond
	// restartTime is how long after its end a process serves again: it is started,
	// and reads what it needs from the store.
	restartTime = 1200 * time.Millisecond
	// returnsOver is the time over which callers are spread that come back to
	// processes that were all stopped together.
	returnsOver = time.Second
	// honouredShare of the time that it has left is what a caller waits at most
	// when it is told to come back later.
	honouredShare = 1.0 / 3
	// spread of what callers are told, so that they don't come back together.
	spread = 0.25
)

// comeBack returns when a caller may come back that waits so long in all.
func comeBack(wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultWait
	}
	return spreadOut(min(maxComeBack, time.Duration(comeBackShare*float64(wait))))
}

func spreadOut(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - spread*rand.Float64()))
}

// notYet refuses a request because the process has just started and lacks
// something; the request has not run.
func (h *handler) notYet(w http.ResponseWriter, call *platform.Call, missing string, wait time.Duration) {
	h.exchange.Refused(call.Route, exchange.EndedByStart)
	h.recorder.Emit(EventNotYet, event.FieldRequest, call.ID, "missing", missing, event.FieldEndedBy, exchange.EndedByStart)
	platform.WriteFailure(w, call.ID, &exchange.Failure{By: exchange.EndedByStart, RetryAfter: wait, Err: errors.Errorf("entry: no %s yet", missing)})
}

// refuseLate refuses a request that was complete only after its time; it has not
// run.
//
// Sent to a backend server with no time left it could only be answered that it may have
// run.
func (h *handler) refuseLate(w http.ResponseWriter, call *platform.Call) {
	h.exchange.Refused(call.Route, call.UntilBy)
	h.recorder.Emit(EventLate, event.FieldRequest, call.ID, "route", call.Route.Name, "version", call.Version,
		"took", time.Since(call.Arrived), event.FieldEndedBy, call.UntilBy)
	platform.WriteFailure(w, call.ID, &exchange.Failure{
		By: call.UntilBy, RetryAfter: spreadOut(elsewhere), Err: errors.New("entry: its time was over when the request was complete"),
	})
}

// refuseRoute refuses a request whose route can't be read; the request has not
// run. The operator may write the route anew, so the caller may come back.
func (h *handler) refuseRoute(w http.ResponseWriter, call *platform.Call) {
	h.exchange.Refused(call.Route, exchange.EndedByConfiguration)
	h.recorder.Emit(EventRouteRefused, event.FieldRequest, call.ID, "why", call.Route.Refused, "version", call.Version,
		event.FieldEndedBy, exchange.EndedByConfiguration)
	platform.WriteFailure(w, call.ID, &exchange.Failure{
		By: exchange.EndedByConfiguration, RetryAfter: comeBack(call.Timeout), Err: errors.New("entry: the configuration of this route can't be read"),
	})
}

func (h *handler) turnAway(w http.ResponseWriter, r *http.Request, call *platform.Call, err error, config *site.Config) {
	var id string
	var version uint64
	var age time.Duration
	if call != nil {
		id = call.ID
	}
	if config != nil {
		version = config.Version
	}
	if h.unconfirmed != nil {
		age = h.unconfirmed()
	}
	status, by := http.StatusBadRequest, exchange.EndedByCaller
	var known *platform.RequestError
	if errors.As(err, &known) {
		status, by = known.Status, known.By
		if id == "" {
			id = known.ID
		}
	}
	// A body that ended early was cut by what ended its connection.
	var end *exchange.End
	if errors.As(context.Cause(r.Context()), &end) {
		by = end.By
	}
	h.exchange.TurnedAway(by)
	h.recorder.Emit(EventTurnedAway, event.FieldRequest, id, "status", status, "err", err, "version", version, "unconfirmed", age, event.FieldEndedBy, by)
	platform.WriteStatus(w, id, status, err.Error())
}

// refuse turns a request away that the process could not finish any more.
func (h *handler) refuse(w http.ResponseWriter, call *platform.Call) {
	now := time.Now()
	need := h.stop.need(call.Route, now)
	h.exchange.Refused(call.Route, exchange.EndedByStop)
	h.recorder.Emit(EventStopping, event.FieldRequest, call.ID, "route", call.Route.Name, "need", need, "left", h.stop.endsAt().Sub(now),
		event.FieldEndedBy, exchange.EndedByStop)
	platform.WriteFailure(w, call.ID, &exchange.Failure{
		By: exchange.EndedByStop, RetryAfter: h.afterStop(call, now), Err: errors.New("entry: this process is about to stop"),
	})
}

// afterStop returns when a caller may come back whom a stopping process refuses.
//
// If every peer is draining too, that is when the first of them is back: retrying sooner
// would only use up the caller's retries. Plain calls go on at once, since stopping
// processes take them nearly to the end.
func (h *handler) afterStop(call *platform.Call, now time.Time) time.Duration {
	if call.Route.Kind != site.Stream || h.allStop == nil || !h.allStop() {
		return spreadOut(elsewhere)
	}
	back := h.firstBack(now).Sub(now) + time.Duration(rand.Float64()*float64(returnsOver))
	left := max(0, call.Until.Sub(now))
	return min(back, time.Duration(honouredShare*float64(left)))
}

// firstBack returns when the first of the VMs that all stop serves again: this one
// when what runs here has ended, another one at the end of its grace.
//
// VMs that are stopped one after another are back in that order.
func (h *handler) firstBack(now time.Time) time.Time {
	back := h.stop.drainedBy(now)
	if h.firstStop != nil {
		if first := h.firstStop(); !first.IsZero() {
			back = earlier(back, first.Add(h.stop.length()))
		}
	}
	return later(back, now).Add(restartTime)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// fail answers a request that was not served. The caller that has left hears nothing.
func fail(w http.ResponseWriter, id string, err error) {
	var failure *exchange.Failure
	if errors.As(err, &failure) {
		platform.WriteFailure(w, id, failure)
		return
	}
	var end *exchange.End
	if errors.As(err, &end) && end.By == exchange.EndedByStop {
		sayCut(w, id, end)
		return
	}
	panic(http.ErrAbortHandler)
}

// sayCut answers a request that this process's stop cuts before its head.
//
// The flush is needed since the process ends as soon as the last handler has returned.
func sayCut(w http.ResponseWriter, id string, end *exchange.End) {
	platform.WriteFailure(w, id, &exchange.Failure{Ran: true, By: end.By, Err: end})
	// An error is a caller's that doesn't read, or that has left meanwhile.
	_ = http.NewResponseController(w).Flush()
}
