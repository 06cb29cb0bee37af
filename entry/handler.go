// Package entry is pearyard's program on the platform's entry VMs: it takes
// callers' requests, finds their routes by the configuration in force and hands
// them to package exchange.
package entry

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/httpanswer"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
)

// defaultWait is for a request that states no time of its own and whose route has none.
const defaultWait = 30 * time.Second

// handler serves callers.
type handler struct {
	holder   *site.Holder
	exchange *exchange.Exchange
	recorder *event.Recorder
	stop     *stopping
	listed   func() bool // the backend servers are known
	// allStop tells whether the other entry VMs stop as well; may be nil.
	allStop func() bool
	// firstStop returns when the first of the other entry VMs that stop began to;
	// zero if none does. It may be nil.
	firstStop func() time.Time
	// unconfirmed tells for how long nobody has confirmed the configuration in
	// force; may be nil.
	unconfirmed func() time.Duration
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := &httpanswer.Writer{ResponseWriter: w}
	defer h.answerPanic(a, r)
	h.take(a, r)
}

// take serves a caller's request, or refuses it.
func (h *handler) take(w *httpanswer.Writer, r *http.Request) {
	if h.stop.begun() {
		w.Header().Set("Connection", "close")
	}
	config := h.holder.Config()
	call, err := platform.ReadCall(r)
	if err != nil {
		defer httpanswer.ReadOff(w, r)()
		h.turnAway(w, r, nil, err, config)
		return
	}
	if config == nil {
		defer httpanswer.ReadOff(w, r)()
		h.notYet(w, call, "configuration", comeBack(call.Timeout))
		return
	}
	if err := call.ReadBody(w.ResponseWriter, r, config.Limits.BodyBytes); err != nil {
		defer httpanswer.ReadOff(w, r)()
		h.turnAway(w, r, call, err, config)
		return
	}
	// The body may have taken a while: go by what is in force now.
	config = h.holder.Config()
	if err := route(call, config); err != nil {
		h.turnAway(w, r, call, err, config)
		return
	}
	if call.Route.Refused != "" {
		h.refuseRoute(w, call)
		return
	}
	if !h.listed() {
		h.notYet(w, call, "list of servers", min(comeBack(call.Timeout), spreadOut(listWait)))
		return
	}
	if !time.Now().Before(call.Until) {
		h.refuseLate(w, call)
		return
	}
	defer endWrites(w, r)()
	h.serve(w, r, call)
}

// route finds the request's route, service and organisation.
func route(call *platform.Call, config *site.Config) error {
	call.Route = config.Match(call.Host, call.Path)
	if call.Route == nil {
		return &platform.RequestError{Status: http.StatusNotFound, By: exchange.EndedByConfiguration, Err: errors.New("entry: no route for this host and path")}
	}
	call.Version = config.Version
	if call.Route.Refused != "" {
		// Whether the route is public can't be read either: no key is asked for.
		return nil
	}
	if config.Keys() && !call.Route.Public {
		owner := config.Owner(call.APIKey)
		if owner == nil {
			return &platform.RequestError{Status: http.StatusUnauthorized, By: exchange.EndedByConfiguration, Err: errors.New("entry: the key is unknown")}
		}
		call.Organisation = owner.Name
	}
	call.Service = call.Route.Pick()
	length, by := wait(call.Timeout, call.Route.Timeout)
	call.Until, call.UntilBy = call.Arrived.Add(length), by
	return nil
}

// wait returns how long a request may take, and whose time that is.
func wait(asked, allowed time.Duration) (time.Duration, exchange.EndedBy) {
	switch {
	case asked > 0 && (allowed <= 0 || asked <= allowed):
		return asked, exchange.EndedByDeadline
	case allowed > 0:
		return allowed, exchange.EndedByRouteTimeout
	default:
		return defaultWait, exchange.EndedByRouteTimeout
	}
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request, call *platform.Call) {
	if h.stop.begun() && !h.mayTake(call) {
		h.refuse(w, call)
		return
	}
	if call.Route.Kind == site.Stream {
		h.serveStream(w, r, call)
		return
	}
	h.servePlain(w, r, call)
}

// mayTake tells whether a stopping process can finish a request.
func (h *handler) mayTake(call *platform.Call) bool {
	now := time.Now()
	need := h.stop.need(call.Route, now)
	if !h.stop.leavesTime(now, need) {
		return false
	}
	if call.Route.Kind != site.Stream {
		return true
	}
	if h.stop.late(now) && call.Until.After(h.stop.endsAt()) {
		return false
	}
	h.recorder.Emit(EventTakenInStop, event.FieldRequest, call.ID, "route", call.Route.Name, "need", need, "left", h.stop.endsAt().Sub(now))
	return true
}

func (h *handler) servePlain(w http.ResponseWriter, r *http.Request, call *platform.Call) {
	if last := h.stop.bound(call.Until); last.Before(call.Until) {
		call.Until, call.UntilBy = last, exchange.EndedByStop
	}
	served := false
	end := h.stop.of(call.Route).begin(call.Arrived)
	defer func() { end(served) }()
	reply, err := h.exchange.Call(r.Context(), &call.Request)
	if err != nil {
		fail(w, call.ID, err)
		return
	}
	copyHeader(w, reply.Header)
	if reply.Rest == nil {
		setLength(w, len(reply.Body))
	}
	w.WriteHeader(reply.Status)
	_, err = w.Write(reply.Body)
	if reply.Rest != nil {
		passRest(w, r, reply.Rest, err)
	}
	served = true
}

func (h *handler) serveStream(w http.ResponseWriter, r *http.Request, call *platform.Call) {
	end := h.stop.of(call.Route).begin(call.Arrived)
	begun, err := h.exchange.Stream(r.Context(), &call.Request, &sink{w: w, flush: http.NewResponseController(w)})
	end(err == nil)
	switch {
	case err == nil:
	case begun:
		// Ended in an orderly way, the answer would look complete.
		cut(r)
	default:
		fail(w, call.ID, err)
	}
}
