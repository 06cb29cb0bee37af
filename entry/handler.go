// Package entry is pearyard's program on the platform's entry VMs: it receives
// callers' requests, matches them to routes of the configuration in force and
// passes them to package exchange.
package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
)

// defaultTimeout is the timeout of a request that states none and whose route has none.
const defaultTimeout = 30 * time.Second

// handler serves callers' requests.
type handler struct {
	configHolder *site.Holder
	exchange     *exchange.Exchange
	recorder     *event.Recorder
	shutdown     *shutdownState
	hasServers   func() bool // reports whether servers of any route are listed
	// allPeersStopping reports whether all other entry VMs are stopping as well; may be nil.
	allPeersStopping func() bool
	// firstPeerStop returns when the first of the other stopping entry VMs began its
	// stop; zero if none is stopping. It may be nil.
	firstPeerStop func() time.Time
	// configAge returns the time since the configuration in force was last
	// confirmed by the store or a peer; may be nil.
	configAge func() time.Duration
	// serving is closed once the process has a configuration and servers; nil: a request that
	// comes before is refused at once.
	serving <-chan struct{}
	started time.Time // of the process
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer := &httpanswer.Writer{ResponseWriter: w}
	defer h.recoverPanic(writer, r)
	h.handle(writer, r)
}

// handle serves a request or refuses it.
func (h *handler) handle(w *httpanswer.Writer, r *http.Request) {
	if h.shutdown.begun() {
		w.Header().Set("Connection", "close")
	}
	config := h.configHolder.Config()
	call, err := platform.ReadCall(r)
	if err != nil {
		defer httpanswer.DrainBody(w, r)()
		h.reject(w, r, nil, err, config)
		return
	}
	if config == nil || !h.hasServers() {
		h.awaitServing(r.Context())
		config = h.configHolder.Config()
	}
	if config == nil {
		defer httpanswer.DrainBody(w, r)()
		h.refuseNotReady(w, call, "configuration", retryDelay(call.Timeout))
		return
	}
	if err := call.ReadBody(w.ResponseWriter, r, config.Limits.BodyBytes); err != nil {
		defer httpanswer.DrainBody(w, r)()
		h.reject(w, r, call, err, config)
		return
	}
	// Reading the body may have taken a while; the configuration in force now counts.
	config = h.configHolder.Config()
	if err := resolveRoute(call, config); err != nil {
		h.reject(w, r, call, err, config)
		return
	}
	if call.Route.RefusalReason != "" {
		h.refuseInvalidRoute(w, call)
		return
	}
	if !h.hasServers() {
		h.refuseNotReady(w, call, "list of servers", min(retryDelay(call.Timeout), withJitter(listRetryDelay)))
		return
	}
	if !time.Now().Before(call.Deadline) {
		h.refuseExpired(w, call)
		return
	}
	defer stopWritesOnCancel(w, r)()
	h.serve(w, r, call)
}

// startTime is how long after its start a process usually serves, also one with little
// processing time. A caller that comes sooner waits until then: it is served sooner than by
// coming back later, and it may try only once more.
const startTime = 400 * time.Millisecond

// awaitServing waits until the process can serve, unless it should have been able to long
// ago: then the store is away, and nobody knows for how long.
func (h *handler) awaitServing(ctx context.Context) {
	wait := startTime - time.Since(h.started)
	if h.serving == nil || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.serving:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// resolveRoute sets the request's route, service, organisation and deadline, and checks its
// key.
func resolveRoute(call *platform.Call, config *site.Config) error {
	call.Route = config.Match(call.Host, call.Path)
	if call.Route == nil {
		return &platform.RequestError{Status: http.StatusNotFound, By: exchange.EndedByConfiguration, Err: errors.New("entry: no route for this host and path")}
	}
	call.Version = config.Version
	if call.Route.RefusalReason != "" {
		// Whether the route is public can't be read either, so the key isn't checked.
		return nil
	}
	var owner *site.Organisation
	if config.RequiresKeys() && !call.Route.Public {
		owner = config.Owner(call.APIKey)
		if owner == nil {
			return &platform.RequestError{Status: http.StatusUnauthorized, By: exchange.EndedByConfiguration, Err: errors.New("entry: the key is unknown")}
		}
		call.Organisation = owner.Name
	}
	call.Service = call.Route.Pick()
	call.Urgency, call.Competition = site.UrgencyOf(call.Route, owner), config.Competition(call.Service)
	timeout, by := requestTimeout(call.Timeout, call.Route.Timeout)
	call.Deadline, call.DeadlineBy = call.Arrived.Add(timeout), by
	return nil
}

// requestTimeout returns the shorter of the timeouts that the caller asked for and the
// route allows, where 0 is none, and what a request is ended by when it passes. Without
// either it is defaultTimeout.
func requestTimeout(asked, allowed time.Duration) (time.Duration, exchange.EndedBy) {
	switch {
	case asked > 0 && (allowed <= 0 || asked <= allowed):
		return asked, exchange.EndedByDeadline
	case allowed > 0:
		return allowed, exchange.EndedByRouteTimeout
	default:
		return defaultTimeout, exchange.EndedByRouteTimeout
	}
}

// serve forwards a request to a backend server, unless the process is stopping and
// can't finish it.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, call *platform.Call) {
	if h.shutdown.begun() && !h.canAccept(call) {
		h.refuseStopping(w, call)
		return
	}
	if call.Route.Kind == site.Stream {
		h.serveStream(w, r, call)
		return
	}
	h.servePlain(w, r, call)
}

// canAccept reports whether a stopping process can finish a request.
func (h *handler) canAccept(call *platform.Call) bool {
	now := time.Now()
	need := h.shutdown.estimate(call.Route, now)
	if !h.shutdown.canFinish(now, need) || !h.mayTakeInStop(call, now) {
		return false
	}
	if call.Route.Kind == site.Stream {
		h.recorder.Emit(EventStopTaken, event.FieldRequest, call.ID, "route", call.Route.Name, "need", need, "left", h.shutdown.endsAt().Sub(now))
	}
	return true
}

// mayTakeInStop reports whether a stopping process may take a request that is expected to end
// before the process. The durations of past requests don't bound that of the next one, so only
// one whose deadline is before the process's end is certain to. Others are better off at another
// process, but for streams that arrive early in the stop and can be resumed there.
func (h *handler) mayTakeInStop(call *platform.Call, now time.Time) bool {
	isStream, isEarly := call.Route.Kind == site.Stream, !h.shutdown.pastEstimateWindow(now)
	switch {
	case h.shutdown.endsAfter(call.Deadline):
		return true
	case isStream && call.Route.Repeatable():
		return isEarly
	case h.allPeersStopping == nil || !h.allPeersStopping():
		return false
	default:
		return isEarly || !isStream
	}
}

// servePlain serves a request that isn't a stream.
func (h *handler) servePlain(w http.ResponseWriter, r *http.Request, call *platform.Call) {
	if last := h.shutdown.capDeadline(call.Deadline); last.Before(call.Deadline) {
		call.Deadline, call.DeadlineBy = last, exchange.EndedByStop
	}
	served := false
	end := h.shutdown.durationsOf(call.Route).begin(call.Arrived)
	defer func() { end(served) }()
	reply, err := h.exchange.Call(r.Context(), &call.Request)
	if err != nil {
		writeError(w, call.ID, err)
		return
	}
	copyHeader(w, reply.Header)
	if reply.Rest == nil {
		setContentLength(w, len(reply.Body))
	}
	w.WriteHeader(reply.Status)
	_, err = w.Write(reply.Body)
	if reply.Rest != nil {
		reply.Body = nil // not held while the rest follows, which may be without end
		copyRest(w, r, reply.Rest, err)
	}
	served = true
}

// serveStream serves a streaming request.
func (h *handler) serveStream(w http.ResponseWriter, r *http.Request, call *platform.Call) {
	end := h.shutdown.durationsOf(call.Route).begin(call.Arrived)
	begun, err := h.exchange.Stream(r.Context(), &call.Request, &streamWriter{w: w, controller: http.NewResponseController(w)})
	end(err == nil)
	switch {
	case err == nil:
	case begun:
		// Returning normally would make the response look complete.
		abortResponse(r)
	default:
		writeError(w, call.ID, err)
	}
}
