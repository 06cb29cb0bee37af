package router

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// place picks a backend server and runs one attempt on it; it waits a little
// when there is none.
func (d *drive) place(ctx context.Context, patience time.Time) (attemptResult, *types.Refusal) {
	defer d.giveBack()
	for {
		if d.refusals > 0 && time.Now().After(patience) {
			return attemptResult{}, d.gaveUp(types.CodeNoBackend, "every backend server refuses this request")
		}
		if !d.pace(ctx) {
			return attemptResult{}, d.contextEnded(ctx)
		}
		d.await(ctx, patience)
		if refusal := d.quarantined(); refusal != nil {
			return attemptResult{}, refusal
		}
		if candidate, ok := d.choose(); ok {
			result := d.attempt(ctx, candidate)
			d.leave(candidate, result)
			return result, nil
		}
		if time.Now().After(patience) {
			return attemptResult{}, d.gaveUp(types.CodeNoBackend, "no backend server takes this request")
		}
		select {
		case <-ctx.Done():
			return attemptResult{}, d.contextEnded(ctx)
		case <-time.After(placeRetry):
		}
	}
}

// pace waits a little once every backend server has refused this request in a
// row: while all engines are down, a resume would else ask them without a pause.
func (d *drive) pace(ctx context.Context) bool {
	round := d.refusals - d.fleet.view.Load().Len()
	if round < 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retry.Backoff(round)):
		return true
	}
}

// choose picks a backend server and enters the request there. One that a
// suspect may not enter, or whose circuit is open, is avoided from then on.
func (d *drive) choose() (*route.Candidate, bool) {
	if !d.mayPlace() {
		return nil, false
	}
	for range maxAvoided {
		candidate, ok := d.pick()
		if !ok {
			break
		}
		circuit := d.fleet.circuit(candidate.ID)
		if circuit.State() == retry.Open || !d.enter(candidate) {
			d.avoidNext(candidate.ID)
			continue
		}
		if circuit.Allow() {
			return candidate, true
		}
		d.withdraw(candidate) // another request became the probe
		d.avoidNext(candidate.ID)
		return nil, false
	}
	d.avoid = d.avoid[:0]
	return nil, false
}

func (d *drive) query() *route.Query {
	return &route.Query{
		Blocks:  d.blocks,
		Zone:    d.r.opts.Zone,
		Avoid:   d.avoid,
		Suspect: d.verdict().StrongEvidence(),
		Long:    d.resumes > 0,
	}
}

func (d *drive) pick() (*route.Candidate, bool) {
	return d.fleet.policy.Pick(d.query(), d.fleet.view.Load())
}

// close notes the end of an attempt in the drive and at its candidate.
func (d *drive) close(candidate *route.Candidate, attempt types.AttemptTag, result *attemptResult) {
	d.refusals++
	if result.ending != notStarted {
		d.refusals = 0
	}
	// Failure it stops: "not run" said of a request that ran. An attempt whose
	// stream broke before its first frame may be with an engine all the same;
	// only a refusal, or a connection that was never made, proves that it isn't.
	d.ran = d.ran || result.accepted || result.ending != notStarted
	d.noteEnd(candidate, attempt, result)
	if result.ending != ended && result.ending != left {
		d.avoidNext(candidate.ID)
	}
}

// noteEnd updates what is known of the candidate by how an attempt ended there,
// and frees its engine.
func (d *drive) noteEnd(candidate *route.Candidate, attempt types.AttemptTag, result *attemptResult) {
	circuit := d.fleet.circuit(candidate.ID)
	if result.accepted {
		circuit.Success()
	}
	switch result.ending {
	case ended:
		candidate.Stats.Succeeded()
	case left:
		if !d.ask.explicitKey {
			d.r.cancelAttempt(candidate.Address, d.id, attempt)
		}
	case lost:
		candidate.Stats.Failed(time.Now())
		if result.cause != causeEngineDied {
			circuit.Failure()
		}
		d.r.cancelAttempt(candidate.Address, d.id, attempt)
	case overtaken:
		if result.cause == causeStill {
			candidate.Stats.Failed(time.Now())
		}
		d.r.cancelAttempt(candidate.Address, d.id, attempt)
	case notStarted:
		if result.refused == nil {
			candidate.Stats.Failed(time.Now())
			circuit.Failure()
		} else if types.Code(result.refused.GetCode()) == types.CodeLeaving {
			d.r.noteLeaving(d.fleet, candidate)
		}
	}
}

func (d *drive) avoidNext(id types.ProcessID) {
	if len(d.avoid) == maxAvoided {
		d.avoid = append(d.avoid[:0], d.avoid[1:]...)
	}
	d.avoid = append(d.avoid, id)
}
