package router

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/suspect"
	"github.com/pearyard/pearyard/types"
)

func (g *generationRun) verdict() suspect.Verdict {
	if g.router.opts.Suspects == nil {
		return suspect.Verdict{State: suspect.Clear}
	}
	return g.router.opts.Suspects.Verdict(g.req.fingerprint)
}

func (g *generationRun) checkQuarantine() *types.Refusal {
	verdict := g.verdict()
	if verdict.State != suspect.Quarantined {
		return nil
	}
	return g.quarantineRefusal(verdict.RetryAfter(time.Now()))
}

// quarantineRefusal is the final answer to a request that has crashed backend
// servers. Its outcome is "not run" only if no attempt of this request was accepted.
func (g *generationRun) quarantineRefusal(wait time.Duration) *types.Refusal {
	refusal := g.finalRefusal(types.CodeQuarantined, "this request has crashed the backend servers that ran it")
	refusal.RetryAfter = wait
	return refusal
}

// awaitGrant waits until this router may run the request. Only a strong suspect, a
// request against which there is strong evidence, has to wait: until its coordinator
// grants this router the one run that it may have among all routers.
//
// Copies of one bad request may come through several routers, each of which learns
// only of the engines that its own copy crashed. Without the coordinator, which
// knows all copies, the request would crash a third and a fourth engine.
func (g *generationRun) awaitGrant(ctx context.Context, giveUpAt time.Time) {
	if g.router.opts.Grants == nil || !g.verdict().StrongEvidence() {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, giveUpAt)
	defer cancel()
	_, err := g.router.opts.Grants.AwaitGrant(ctx, g.req.fingerprint)
	g.hasGrant = err == nil
}

// mayPlace reports whether the request may be placed: a strong suspect needs a grant.
func (g *generationRun) mayPlace() bool {
	return g.hasGrant || g.router.opts.Grants == nil || !g.verdict().StrongEvidence()
}

// beginRun asks the ledger whether the request may run on candidate now. A strong
// suspect must not share an engine with another one, nor run twice at once through
// this router, or one bad request could crash more engines than its limit. Runs of
// requests that are not suspected are counted too: a copy may become a suspect.
func (g *generationRun) beginRun(candidate *route.Candidate) bool {
	if g.router.opts.Suspects == nil {
		return true
	}
	g.runCounted = g.router.opts.Suspects.BeginRun(g.req.fingerprint, string(candidate.ID))
	return g.runCounted
}

// cancelRun undoes beginRun if no attempt follows.
func (g *generationRun) cancelRun(candidate *route.Candidate) { g.endRun(candidate, attemptResult{}) }

// endRun records what the end of an attempt says about the request. The death is
// recorded before the ledger releases the grant, so that the next router that runs a
// copy of the request knows of the death.
func (g *generationRun) endRun(candidate *route.Candidate, result attemptResult) {
	if g.router.opts.Suspects == nil {
		return
	}
	if result.deathID != "" {
		g.router.opts.Suspects.RecordWeightedDeath(result.deathID, g.req.fingerprint, result.proven)
	}
	if g.runCounted {
		g.runCounted = false
		g.router.opts.Suspects.EndRun(g.req.fingerprint, string(candidate.ID))
	}
	g.hasGrant = false // EndRun released it
}

// releaseGrant releases a grant that wasn't used for a run.
func (g *generationRun) releaseGrant() {
	if g.hasGrant {
		g.hasGrant = false
		g.router.opts.Grants.ReleaseGrant(g.req.fingerprint)
	}
}
