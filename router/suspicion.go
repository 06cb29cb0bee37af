package router

import (
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

// enter asks whether the request may run on candidate now. Only a strong
// suspect is held back: it must not meet another one, nor run twice at once,
// or a single bad request could cost more engines than its limit.
func (d *drive) enter(candidate *route.Candidate) bool {
	if d.r.opts.Suspects == nil || !d.verdict().Strong() {
		return true
	}
	d.entered = d.r.opts.Suspects.Enter(d.ask.fingerprint, string(candidate.ID))
	return d.entered
}

// leave notes what the end of an attempt says about the request. The death is
// told before the run is given back, so that a copy elsewhere sees it.
func (d *drive) leave(candidate *route.Candidate, result attemptResult) {
	if d.r.opts.Suspects == nil {
		return
	}
	if result.death != "" {
		d.r.opts.Suspects.DeathOf(result.death, d.ask.fingerprint, result.proven)
	}
	if d.entered {
		d.entered = false
		d.r.opts.Suspects.Leave(d.ask.fingerprint, string(candidate.ID))
	}
}
