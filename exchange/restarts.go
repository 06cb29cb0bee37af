package exchange

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/directory"
)

// RestartDetector detects servers that crashed and were restarted while the store is
// unavailable. A new start has a new id, or the id of the former one and a later start
// time; only the store lists either. Without detection every crash during an outage
// takes a server out of use until the outage is over, and after the loss of two of four
// zones half of the servers stay unused.
//
// A server's address may be given to another service, but not sooner than Reuse after
// the server's end. A process that answers there within Reuse of a moment at which the former
// one ran for certain is therefore of the same service; one that answers with the former
// one's id is so at any time. That an entry was read is no proof: its server may be dead.
// Both clocks must say so: the monotonic one stands still while this VM is suspended.
type RestartDetector struct {
	// Reuse is how long an address is not given to another service.
	Reuse time.Duration
	// StoreUnavailable reports whether the store is unavailable at the moment.
	StoreUnavailable func() bool
	// Identify returns which start answers at a server's address.
	Identify func(ctx context.Context, s *directory.Server) (directory.Start, error)
	// Found is called with each restart that is detected.
	Found func(old *directory.Server, start directory.Start)
}

const (
	// restartPollInterval is the time between two polls, restartFirstDelay that before
	// the first one: a process takes about a second to come back.
	restartPollInterval = 150 * time.Millisecond
	restartFirstDelay   = 1050 * time.Millisecond
	// reuseMargin is how long before the end of Reuse polling stops, as a safety margin.
	reuseMargin = 100 * time.Millisecond
)

// watchAddress polls the address of a server that has just been lost, while the store is
// unavailable, until a later start answers or the address may be another service's.
func (r *RestartDetector) watchAddress(e *Exchange, s *directory.Server) {
	if r == nil || r.Reuse <= 0 {
		return
	}
	heard := s.LastHeard()
	heard = time.Now().Add(-time.Since(heard)) // by both clocks
	go func() {
		time.Sleep(time.Until(heard.Add(restartFirstDelay)))
		for r.withinReuse(heard) {
			if r.StoreUnavailable() && r.poll(e, s, heard) {
				return
			}
			time.Sleep(restartPollInterval)
		}
	}()
}

// withinReuse reports whether less than Reuse has passed since a moment, by both clocks.
func (r *RestartDetector) withinReuse(since time.Time) bool {
	limit := r.Reuse - reuseMargin
	return time.Since(since) < limit && time.Now().Round(0).Sub(since.Round(0)) < limit
}

// confirm puts a later start that answers at a server's address to use, if it has the
// server's id: then it is of the same service, whatever the list says by now. A server
// that was cut off from the store when it crashed is listed with its former start for
// some seconds more, and would get nothing meanwhile. If it does not answer, it is used
// once the list has it; its loss has been recorded already.
func (r *RestartDetector) confirm(e *Exchange, s *directory.Server) {
	if r == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timings.ProbeTimeout)
		defer cancel()
		e.metrics.probes.Inc()
		if start, err := r.Identify(ctx, s); err == nil && start.LaterThan(s.Start) {
			r.report(e, s, start)
		}
	}()
}

// report logs a restart and passes it on to Found.
func (r *RestartDetector) report(e *Exchange, s *directory.Server, start directory.Start) {
	e.opts.Recorder.Emit(EventRestarted, "server", s.Start, "now", start, "service", s.Service, "zone", s.Zone, "since", time.Since(s.LastHeard()))
	r.Found(s, start)
}

// poll reports whether another start answers at a server's address.
func (r *RestartDetector) poll(e *Exchange, s *directory.Server, heard time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), e.opts.Timings.ProbeTimeout)
	defer cancel()
	e.metrics.probes.Inc()
	start, err := r.Identify(ctx, s)
	ran := s.RanAt()
	sameService := start.LaterThan(s.Start) || start.ID != s.ID && !ran.IsZero() && r.withinReuse(ran)
	if err != nil || start.ID == "" || !sameService || !r.withinReuse(heard) {
		// It is not back yet; the server's loss has been recorded already.
		return false
	}
	r.report(e, s, start)
	return true
}
