package router

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

func (d *drive) verdict() suspect.Verdict {
	if d.r.opts.Suspects == nil {
		return suspect.Verdict{State: suspect.Clear}
	}
	return d.r.opts.Suspects.Verdict(d.ask.fingerprint)
}

func (d *drive) quarantined() *types.Refusal {
	verdict := d.verdict()
	if verdict.State != suspect.Quarantined {
		return nil
	}
	return d.crashes(verdict.RetryAfter(time.Now()))
}

// crashes is the final answer to a request that has crashed backend servers.
// Its outcome is "not run" only if no attempt of this very try was accepted.
func (d *drive) crashes(wait time.Duration) *types.Refusal {
	refusal := d.gaveUp(types.CodeQuarantined, "this request has crashed the backend servers that ran it")
	refusal.RetryAfter = wait
	return refusal
}

// await waits until this router may run the request: only a strong suspect is
// held back, until its home grants it the one run that it has among all routers.
//
// Failure it stops: copies of one bad request come through several routers, and
// each router learns only of the engines that its own copy crashed. It shows as
// a third and a fourth engine lost to the request. The home knows of all copies.
func (d *drive) await(ctx context.Context, patience time.Time) {
	if d.r.opts.Grants == nil || !d.verdict().StrongEvidence() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, patience)
	defer cancel()
	_, err := d.r.opts.Grants.AwaitGrant(ctx, d.ask.fingerprint)
	d.granted = err == nil
}

// mayPlace reports whether the request may be placed: if it is a strong
// suspect, only with a grant.
func (d *drive) mayPlace() bool {
	return d.granted || d.r.opts.Grants == nil || !d.verdict().StrongEvidence()
}

// enter asks whether the request may run on candidate now. A strong suspect
// must not meet another one, nor run twice at once through this router, or a
// single bad request could cost more engines than its limit. Runs of requests
// that are clear are counted as well: they may be copies of a suspect-to-be.
func (d *drive) enter(candidate *route.Candidate) bool {
	if d.r.opts.Suspects == nil {
		return true
	}
	d.entered = d.r.opts.Suspects.BeginRun(d.ask.fingerprint, string(candidate.ID))
	return d.entered
}

// withdraw takes back an entry that no attempt followed.
func (d *drive) withdraw(candidate *route.Candidate) { d.leave(candidate, attemptResult{}) }

// leave notes what the end of an attempt says about the request. The death is
// told before the run is given back, so that a copy elsewhere sees it.
func (d *drive) leave(candidate *route.Candidate, result attemptResult) {
	if d.r.opts.Suspects == nil {
		return
	}
	if result.death != "" {
		d.r.opts.Suspects.RecordWeightedDeath(result.death, d.ask.fingerprint, result.proven)
	}
	if d.entered {
		d.entered = false
		d.r.opts.Suspects.EndRun(d.ask.fingerprint, string(candidate.ID))
	}
	d.granted = false // a run that ends gives its grant back
}

// giveBack returns a grant that brought no run.
func (d *drive) giveBack() {
	if d.granted {
		d.granted = false
		d.r.opts.Grants.ReleaseGrant(d.ask.fingerprint)
	}
}
