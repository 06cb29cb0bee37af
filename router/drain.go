package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// beginRequest counts a request as in flight, unless the router is draining.
//
// A request counts itself before it reads draining, and the drain sets draining
// before it reads the count. So either the request sees the drain, or the drain
// sees the request; otherwise a request that passes the check just before the drain
// begins would be cut off when the process exits.
func (r *Router) beginRequest() bool {
	r.streams.Add(1)
	if r.draining.Load() {
		r.endRequest()
		return false
	}
	return true
}

// endRequest undoes beginRequest; the last request of a drain closes drained.
func (r *Router) endRequest() {
	if r.streams.Add(-1) == 0 && r.draining.Load() {
		r.drainedOnce.Do(func() { close(r.drained) })
	}
}

// BeginDrain refuses new requests from now on. Further calls have no effect.
func (r *Router) BeginDrain(reason string) {
	r.streams.Add(1) // keeps the count above zero until the drain has begun
	defer r.endRequest()
	if r.draining.Swap(true) {
		return
	}
	r.drainedAt.Store(time.Now().UnixNano())
	close(r.stopping)
	r.opts.Recorder.Emit(eventDraining, "reason", reason, "streams", r.streams.Load()-1)
}

// Stopping is closed when a planned stop begins.
func (r *Router) Stopping() <-chan struct{} { return r.stopping }

// Draining reports whether the router refuses new requests.
func (r *Router) Draining() bool { return r.draining.Load() }

// Streams returns how many requests are in flight.
func (r *Router) Streams() int { return int(r.streams.Load()) }

// Drained waits for the requests in flight; BeginDrain must have been called. The
// wait has no bound of its own, since a caller's connection can't be moved to
// another router.
func (r *Router) Drained(ctx context.Context) error {
	select {
	case <-r.drained:
		r.opts.Recorder.Emit(eventDrained)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Drain returns the progress of a planned stop.
func (r *Router) Drain() inspect.Drain {
	drain := inspect.Drain{Active: r.draining.Load(), Streams: r.Streams()}
	if at := r.drainedAt.Load(); at != 0 {
		drain.Since = time.Unix(0, at)
	}
	r.inFlight.Range(func(request, _ any) bool {
		drain.Longest = max(drain.Longest, time.Since(request.(*admittedRequest).started))
		return true
	})
	return drain
}

// serveReady tells the platform's load balancer whether to send new connections here.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() || r.opts.Text() == nil || !r.opts.Fresh() || !r.hasBackends(r.opts.Text()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) hasBackends(conf *text.Config) bool {
	for i := range conf.Services {
		sf := r.fleet.service(conf.Services[i].Name)
		if sf != nil && sf.view.Load().Len() > 0 {
			return true
		}
	}
	return false
}

// Dump returns the router's state for operators.
func (r *Router) Dump() any {
	type backend struct {
		ID       types.ProcessID
		Address  string
		Zone     types.Zone
		InFlight int
		Fails    int
		Slow     bool
	}
	dump := struct {
		Draining bool
		Streams  int
		Services map[string][]backend
	}{Draining: r.draining.Load(), Streams: r.Streams(), Services: map[string][]backend{}}
	for name, sf := range *r.fleet.services.Load() {
		for _, c := range sf.view.Load().Candidates() {
			dump.Services[name] = append(dump.Services[name], backend{c.ID, c.Address, c.Zone, c.Stats.InFlight(), c.Stats.Failures(), c.Stats.Slow()})
		}
	}
	return dump
}
