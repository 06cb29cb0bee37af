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
	// retryDelayRatio is the Retry-After of a process without configuration, as a
	// fraction of the time that the caller waits in all. Callers retry only once or
	// twice, and the store may be unreachable for seconds.
	retryDelayRatio = 0.25
	maxRetryDelay   = 2500 * time.Millisecond
	// listRetryDelay is the Retry-After of a process that has a configuration but no list
	// of servers yet. It covers the transfer of a long list over a slow link; if it
	// were shorter, callers would use up their retries before the list is there.
	listRetryDelay = 1300 * time.Millisecond
	// otherProcessDelay is the Retry-After of a process that is stopping: the caller's next
	// connection goes to another process. It also applies to requests that were received
	// only after their deadline.
	otherProcessDelay = 150 * time.Millisecond
	// restartTime is how long after its end a process serves again. In that time it
	// is started and reads its configuration and server list from the store.
	restartTime = 1200 * time.Millisecond
	// restartSpread is the time over which the retries of callers are spread when all
	// processes were stopped together.
	restartSpread = time.Second
	// maxRetryAfterShare is the fraction of its remaining time up to which a caller
	// honours a Retry-After.
	maxRetryAfterShare = 1.0 / 3
	// jitter is the random fraction of Retry-After, so that callers don't retry all at
	// once.
	jitter = 0.25
)

// retryDelay returns the Retry-After for a caller that waits that long in all; wait is 0
// if it stated no time.
func retryDelay(wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultTimeout
	}
	return withJitter(min(maxRetryDelay, time.Duration(retryDelayRatio*float64(wait))))
}

// withJitter shortens a duration by a random fraction of it, up to jitter.
func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter*rand.Float64()))
}

// refuseNotReady refuses a request because the process has just started and lacks its
// configuration or list of servers. The request has not run.
func (h *handler) refuseNotReady(w http.ResponseWriter, call *platform.Call, missing string, wait time.Duration) {
	h.exchange.Refused(call.Route, exchange.EndedByStart)
	h.recorder.Emit(EventNoConfig, event.FieldRequest, call.ID, "missing", missing, event.FieldEndedBy, exchange.EndedByStart)
	platform.WriteFailure(w, call.ID, &exchange.Failure{By: exchange.EndedByStart, RetryAfter: wait, Err: errors.Errorf("entry: no %s yet", missing)})
}

// refuseExpired refuses a request that was completely received only after its deadline.
// It has not run.
//
// Had it been sent to a backend server with no time left, the caller could only be told
// that it may have run.
func (h *handler) refuseExpired(w http.ResponseWriter, call *platform.Call) {
	h.exchange.Refused(call.Route, call.DeadlineBy)
	h.recorder.Emit(EventLate, event.FieldRequest, call.ID, "route", call.Route.Name, "version", call.Version,
		"took", time.Since(call.Arrived), event.FieldEndedBy, call.DeadlineBy)
	platform.WriteFailure(w, call.ID, &exchange.Failure{
		By: call.DeadlineBy, RetryAfter: withJitter(otherProcessDelay), Err: errors.New("entry: its time was over when the request was complete"),
	})
}

// refuseInvalidRoute refuses a request whose route has an invalid configuration. The request
// has not run, and the caller may retry, since the operator may correct the route.
func (h *handler) refuseInvalidRoute(w http.ResponseWriter, call *platform.Call) {
	h.exchange.Refused(call.Route, exchange.EndedByConfiguration)
	h.recorder.Emit(EventRouteRefused, event.FieldRequest, call.ID, "why", call.Route.RefusalReason, "version", call.Version,
		event.FieldEndedBy, exchange.EndedByConfiguration)
	platform.WriteFailure(w, call.ID, &exchange.Failure{
		By: exchange.EndedByConfiguration, RetryAfter: retryDelay(call.Timeout), Err: errors.New("entry: the configuration of this route can't be read"),
	})
}

// reject rejects a malformed or unauthorized request, one without a route, or one whose
// body is too large. call is nil if its head could not be read.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, call *platform.Call, err error, config *site.Config) {
	var id string
	var version uint64
	var age time.Duration
	if call != nil {
		id = call.ID
	}
	if config != nil {
		version = config.Version
	}
	if h.configAge != nil {
		age = h.configAge()
	}
	status, by := http.StatusBadRequest, exchange.EndedByCaller
	var known *platform.RequestError
	if errors.As(err, &known) {
		status, by = known.Status, known.By
		if id == "" {
			id = known.ID
		}
	}
	// If the body was truncated, what ended the connection is the reason.
	var end *exchange.End
	if errors.As(context.Cause(r.Context()), &end) {
		by = end.By
	}
	h.exchange.TurnedAway(by)
	h.recorder.Emit(EventTurnedAway, event.FieldRequest, id, "status", status, "err", err, "version", version, "unconfirmed", age, event.FieldEndedBy, by)
	platform.WriteStatus(w, id, status, err.Error())
}

// refuseStopping refuses a request that the stopping process could not finish.
func (h *handler) refuseStopping(w http.ResponseWriter, call *platform.Call) {
	now := time.Now()
	need := h.shutdown.estimate(call.Route, now)
	h.exchange.Refused(call.Route, exchange.EndedByStop)
	h.recorder.Emit(EventStopRefused, event.FieldRequest, call.ID, "route", call.Route.Name, "need", need, "left", h.shutdown.endsAt().Sub(now),
		event.FieldEndedBy, exchange.EndedByStop)
	platform.WriteFailure(w, call.ID, &exchange.Failure{
		By: exchange.EndedByStop, RetryAfter: h.retryAfterStop(call, now), Err: errors.New("entry: this process is about to stop"),
	})
}

// retryAfterStop returns the Retry-After for a caller that a stopping process refuses.
//
// If all other VMs are stopping too, that is when the first of all is back: retrying
// sooner would only use up the caller's retries. Plain calls may be retried at once, since
// stopping processes accept them until shortly before their end.
func (h *handler) retryAfterStop(call *platform.Call, now time.Time) time.Duration {
	if call.Route.Kind != site.Stream || h.allPeersStopping == nil || !h.allPeersStopping() {
		return withJitter(otherProcessDelay)
	}
	back := h.firstRestart(now).Sub(now) + time.Duration(rand.Float64()*float64(restartSpread))
	left := max(0, call.Deadline.Sub(now))
	return min(back, time.Duration(maxRetryAfterShare*float64(left)))
}

// firstRestart returns when the first of the VMs serves again if all of them are stopping.
// This one is back after its running requests have ended, another one after the end of
// its grace period. VMs that are stopped one after another come back in that order.
func (h *handler) firstRestart(now time.Time) time.Time {
	back := h.shutdown.drainedBy(now)
	if h.firstPeerStop != nil {
		if first := h.firstPeerStop(); !first.IsZero() {
			back = earlier(back, first.Add(h.shutdown.maxDuration()))
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

// writeError answers a request that was not served. If the caller has left, it aborts the
// handler instead.
func writeError(w http.ResponseWriter, id string, err error) {
	var failure *exchange.Failure
	if errors.As(err, &failure) {
		platform.WriteFailure(w, id, failure)
		return
	}
	var end *exchange.End
	if errors.As(err, &end) && end.By == exchange.EndedByStop {
		writeStopped(w, id, end)
		return
	}
	panic(http.ErrAbortHandler)
}

// writeStopped answers a request that this process's stop ended before the response had
// begun.
//
// The flush is needed since the process ends as soon as the last handler has returned.
func writeStopped(w http.ResponseWriter, id string, end *exchange.End) {
	platform.WriteFailure(w, id, &exchange.Failure{Ran: true, By: end.By, Err: end})
	// The error means that the caller doesn't read or has left meanwhile.
	_ = http.NewResponseController(w).Flush()
}
