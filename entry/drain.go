package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/inbound"
	"github.com/pearyard/pearyard/retry"
)

const (
	// rotationDelay is how long callers still arrive after the process has reported
	// itself not ready: the platform checks once a second and acts on the second
	// failure. Closing earlier would refuse callers that are still sent here.
	rotationDelay = 2500 * time.Millisecond
	// graceMargin is reserved at the end of the grace period for the process to exit.
	graceMargin       = 300 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// refusalTime is how long before the end of its grace period a process stops
	// accepting connections and answers the ones in the queue, also if requests still
	// run. A refusal takes a few ms; without it queued callers would see a reset.
	refusalTime = 300 * time.Millisecond
)

// serveCallers adds the server for callers. The end of ctx begins a planned stop: the
// process reports itself not ready, goes on serving, and ends when no request runs any
// more or the grace period is over.
func (e *Entry) serveCallers(ctx context.Context, group *run.Group) error {
	listener, err := e.listenForCallers()
	if err != nil {
		return err
	}
	h := &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: e.shutdown, hasServers: e.anyServerListed, configAge: e.configFollower.Age, allPeersStopping: e.election.AllStop, firstPeerStop: e.election.FirstStop, started: e.startedAt, serving: e.serving}
	callers := e.trackCallers(listener)
	server := &http.Server{Handler: e.countRunning(h), BaseContext: e.canceller.baseContext, MaxHeaderBytes: maxHeaderBytes}
	callers.Attach(server)
	addBackground(group, callers.Run)
	serveUntilDrained(ctx, group, server, callers, func() { e.drain(server, callers) })
	return nil
}

func (e *Entry) listenForCallers() (net.Listener, error) {
	if e.callers != nil {
		return e.callers, nil
	}
	listener, err := net.Listen("tcp4", e.settings.Callers)
	return listener, errors.Wrap(err, "entry: listen")
}

// serveUntilDrained adds a server that ends with the group or, after ctx, once
// drain has returned; drain shuts the server down.
//
// Serve returns as soon as the listener is closed, while Shutdown still waits for
// requests that arrived at that moment; the group must not end before those.
func serveUntilDrained(ctx context.Context, group *run.Group, server *http.Server, l net.Listener, drain func()) {
	stop, cancel := context.WithCancel(ctx)
	drained := make(chan struct{})
	group.Add(func() error {
		err := ignoreClosed(server.Serve(l))
		if err == nil {
			<-drained
		}
		return err
	}, func(error) { _ = server.Close() })
	group.Add(func() error {
		defer close(drained)
		<-stop.Done()
		drain()
		return nil
	}, func(error) { cancel() })
}

// trackCallers wraps the listener that callers connect to with connection tracking and limits.
func (e *Entry) trackCallers(l net.Listener) *inbound.Listener {
	return inbound.New(l, inbound.Options{
		Limits: e.clientLimits, IdleMargin: idleMargin, Recorder: e.recorder, Registerer: e.registry, Metrics: "pearyard_entry_callers",
		CancelCause: func(err error) error {
			if !exchange.IsLinkLost(err) {
				return nil
			}
			return &exchange.End{By: exchange.EndedByCallerLink, Err: err}
		},
	})
}

// clientLimits returns the limits of the configuration in force. Where it sets none, and
// before there is a configuration, the built-in ones apply.
func (e *Entry) clientLimits() inbound.Limits {
	limits := inbound.Limits{IdleTime: idleTimeout, HeaderTime: headerTimeout}
	config := e.configHolder.Config()
	if config == nil {
		return limits
	}
	if config.Limits.IdleTime > 0 {
		limits.IdleTime = config.Limits.IdleTime
	}
	if config.Limits.HeaderTime > 0 {
		limits.HeaderTime = config.Limits.HeaderTime
	}
	return limits
}

// countRunning returns a handler that counts its running requests in runningRequests.
func (e *Entry) countRunning(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.runningRequests.Add(1)
		defer e.runningRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// drain runs a planned stop: it waits until nothing runs or little time is left, closes
// the listener, and cancels what still runs.
func (e *Entry) drain(server *http.Server, callers *inbound.Listener) {
	began := time.Now()
	end := began.Add(e.settings.Grace - graceMargin)
	e.shutdown.begin(end)
	e.election.AnnounceStop()
	e.directory.SetStopping()
	e.exchange.StopWaiting()
	e.recorder.Emit(EventDraining, "running", e.runningRequests.Load(), "grace", e.settings.Grace)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	e.waitUntilIdle(end.Add(-refusalTime))
	err := callers.Finish(ctx, server)
	cut := e.canceller.cancelAll(&e.runningRequests)
	e.recorder.Emit(EventStopped, "cut", cut, "took", time.Since(began), "err", err)
}

// waitUntilIdle returns when callers no longer arrive and no request runs, but no later
// than until.
func (e *Entry) waitUntilIdle(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	_ = retry.Wait(ctx, rotationDelay)
	for e.runningRequests.Load() > 0 && ctx.Err() == nil {
		_ = retry.Wait(ctx, drainPollInterval)
	}
}
