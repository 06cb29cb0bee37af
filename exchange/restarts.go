package exchange

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
)

// Restarts finds servers that crashed and were started again while the store is
// away. A start may have a new id, or the id of the one before and a later time
// of birth; the store alone lists either. Without it every crash during an outage
// takes a server out until the outage is over, and two zones' losses leave half
// of them.
//
// A server's address may be given to another service, but not sooner than
// Reuse after its end. A process that answers there within Reuse of the last
// sign of life of the former one is therefore of the same service. Both clocks
// must say so: the steady one stands still while this VM is suspended.
type Restarts struct {
	// Reuse is how long an address stays unused by other services.
	Reuse time.Duration
	// Away tells whether the store doesn't tell the list at the moment.
	Away func() bool
	// Identify asks which start answers at a server's address.
	Identify func(ctx context.Context, s *directory.Server) (directory.Start, error)
	// Found is told of a restart.
	Found func(old *directory.Server, start directory.Start)
}

const (
	// restartLook is the time between two questions, restartFirst that before
	// the first one: a process takes about a second to come back.
	restartLook  = 150 * time.Millisecond
	restartFirst = 1050 * time.Millisecond
	// reuseMargin is kept free before the address may be another service's.
	reuseMargin = 100 * time.Millisecond
)

// lookFor watches the address of a server that has just been lost.
func (r *Restarts) lookFor(e *Exchange, s *directory.Server) {
	if r == nil || r.Reuse <= 0 {
		return
	}
	sign := s.LastHeard()
	steady := time.Now().Add(-time.Since(sign))
	go func() {
		time.Sleep(time.Until(steady.Add(restartFirst)))
		for r.within(sign, steady) {
			if r.Away() && r.ask(e, s, sign, steady) {
				return
			}
			time.Sleep(restartLook)
		}
	}()
}

// within tells whether a process that answers now must be of the same service.
func (r *Restarts) within(sign, steady time.Time) bool {
	limit := r.Reuse - reuseMargin
	return time.Since(steady) < limit && time.Now().Round(0).Sub(sign.Round(0)) < limit
}

// confirm takes a later start that answers at a server's address into use, if it
// has the server's id: then it is the same service, whatever the list says by now.
// A server that was cut off from the store when it crashed is listed with its
// former start for some seconds more, and got nothing meanwhile. Without an answer
// it is used once the list tells of it; its loss has been told already.
func (r *Restarts) confirm(e *Exchange, s *directory.Server) {
	if r == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timings.ProbeTimeout)
		defer cancel()
		e.metrics.probes.Inc()
		if start, err := r.Identify(ctx, s); err == nil && start.LaterThan(s.Start) {
			r.found(e, s, start)
		}
	}()
}

func (r *Restarts) found(e *Exchange, s *directory.Server, start directory.Start) {
	e.opts.Recorder.Emit(EventRestarted, "server", s.Start, "now", start, "service", s.Service, "zone", s.Zone, "since", time.Since(s.LastHeard()))
	r.Found(s, start)
}

func (r *Restarts) ask(e *Exchange, s *directory.Server, sign, steady time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timings.ProbeTimeout)
	defer cancel()
	e.metrics.probes.Inc()
	start, err := r.Identify(ctx, s)
	another := start.ID != s.ID || start.LaterThan(s.Start)
	if err != nil || start.ID == "" || !another || !r.within(sign, steady) {
		// It is not back yet; the server's loss has been told already.
		return false
	}
	r.found(e, s, start)
	return true
}
