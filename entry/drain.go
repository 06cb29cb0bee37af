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
	// rotationTime is how long callers still come after the process has said
	// that it isn't ready: the platform asks once a second and believes the
	// second miss. Closing earlier would turn away those on their way.
	rotationTime = 2500 * time.Millisecond
	// graceMargin is kept back from the grace period for the process's own end.
	graceMargin = 300 * time.Millisecond
	drainLook   = 50 * time.Millisecond
	// refusalTime before the end of its grace a process takes no more connections
	// and answers what has come, also if something still runs: a refusal takes a
	// few ms, and without it callers in the queue see a reset.
	refusalTime = 300 * time.Millisecond
)

// serveCallers adds the callers' server. The end of ctx begins a planned stop:
// the process says that it isn't ready, goes on serving, and ends when nothing
// runs any more or the grace period is over.
func (e *Entry) serveCallers(ctx context.Context, group *run.Group) error {
	listener, err := net.Listen("tcp4", e.settings.Callers)
	if err != nil {
		return errors.Wrap(err, "entry: listen")
	}
	h := &handler{holder: e.holder, exchange: e.exchange, recorder: e.recorder, stop: e.stop, listed: e.listed, unconfirmed: e.config.Age, allStop: e.election.AllStop, firstStop: e.election.FirstStop}
	callers := e.callers(listener)
	server := &http.Server{Handler: e.counted(h), BaseContext: e.cutter.base, MaxHeaderBytes: maxHeader}
	callers.Attach(server)
	background(group, callers.Run)
	serveUntilDrained(ctx, group, server, callers, func() { e.drain(server, callers) })
	return nil
}

// serveUntilDrained adds a server that ends with the group or, after ctx, once
// drain has returned; drain shuts the server down.
//
// Serve returns as soon as the listener is closed, while Shutdown still waits for
// requests that came in the same moment.
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

// callers keeps track of the callers' connections.
func (e *Entry) callers(l net.Listener) *inbound.Listener {
	return inbound.New(l, inbound.Options{
		Limits: e.clientLimits, Recorder: e.recorder, Registerer: e.registry, Metrics: "pearyard_entry_callers",
		CancelCause: func(err error) error {
			if !exchange.IsLinkLost(err) {
				return nil
			}
			return &exchange.End{By: exchange.EndedByCallerLink, Err: err}
		},
	})
}

// clientLimits returns those of the configuration in force; where it has none,
// and before there is one, those of this program.
func (e *Entry) clientLimits() inbound.Limits {
	limits := inbound.Limits{IdleTime: idleTimeout, HeaderTime: headerTimeout}
	config := e.holder.Config()
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

func (e *Entry) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.running.Add(1)
		defer e.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) drain(server *http.Server, callers *inbound.Listener) {
	began := time.Now()
	end := began.Add(e.settings.Grace - graceMargin)
	e.stop.begin(end)
	e.election.Stopping()
	e.directory.Hasten()
	e.recorder.Emit(EventDraining, "running", e.running.Load(), "grace", e.settings.Grace)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	e.untilQuiet(end.Add(-refusalTime))
	err := callers.Finish(ctx, server)
	cut := e.cutter.cut(&e.running)
	e.recorder.Emit(EventStopped, "cut", cut, "took", time.Since(began), "err", err)
}

// untilQuiet returns when callers have stopped coming and nothing runs, at until
// at the latest.
func (e *Entry) untilQuiet(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	_ = retry.Wait(ctx, rotationTime)
	for e.running.Load() > 0 && ctx.Err() == nil {
		_ = retry.Wait(ctx, drainLook)
	}
}
