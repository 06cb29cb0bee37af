package router

import (
	"context"
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// placeAttempt picks a backend server and runs one attempt on it. While there is
// none it retries until giveUpAt.
func (g *generationRun) placeAttempt(ctx context.Context, giveUpAt time.Time) (attemptResult, *types.Refusal) {
	defer g.releaseGrant()
	for {
		if g.consecutiveRefusals > 0 && time.Now().After(giveUpAt) {
			return attemptResult{}, g.finalRefusal(types.CodeNoBackend, "every backend server refuses this request")
		}
		if !g.paceRefusals(ctx) {
			return attemptResult{}, g.contextRefusal(ctx)
		}
		g.awaitGrant(ctx, giveUpAt)
		if refusal := g.checkQuarantine(); refusal != nil {
			return attemptResult{}, refusal
		}
		if candidate, ok := g.chooseCandidate(); ok {
			result := g.runAttempt(ctx, candidate)
			g.endRun(candidate, result)
			return result, nil
		}
		if time.Now().After(giveUpAt) {
			return attemptResult{}, g.finalRefusal(types.CodeNoBackend, "no backend server takes this request")
		}
		select {
		case <-ctx.Done():
			return attemptResult{}, g.contextRefusal(ctx)
		case <-time.After(placeRetryInterval):
		}
	}
}

// paceRefusals waits, with a growing backoff, once this request was refused as often
// in a row as there are backend servers. Without it a resume would send attempts
// without a pause while all engines are down. It returns false if ctx ends first.
func (g *generationRun) paceRefusals(ctx context.Context) bool {
	round := g.consecutiveRefusals - g.service.view.Load().Len()
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

// chooseCandidate picks a backend server and begins a run on it. Servers where a
// suspect may not run, or whose circuit is open, are avoided from then on.
func (g *generationRun) chooseCandidate() (*route.Candidate, bool) {
	if !g.mayPlace() {
		return nil, false
	}
	for range maxAvoided {
		candidate, ok := g.pick()
		if !ok {
			break
		}
		circuit := g.service.circuit(candidate.ID)
		if circuit.State() == retry.Open || !g.beginRun(candidate) {
			g.avoidCandidate(candidate.ID)
			continue
		}
		if circuit.Allow() {
			return candidate, true
		}
		g.cancelRun(candidate) // another request took the circuit's probe
		g.avoidCandidate(candidate.ID)
		return nil, false
	}
	g.avoid = g.avoid[:0]
	return nil, false
}

func (g *generationRun) query() *route.Query {
	return &route.Query{
		Blocks:  g.blocks,
		Zone:    g.router.opts.Zone,
		Avoid:   g.avoid,
		Suspect: g.verdict().StrongEvidence(),
		Long:    g.resumes > 0,
	}
}

func (g *generationRun) pick() (*route.Candidate, bool) {
	return g.service.policy.Pick(g.query(), g.service.view.Load())
}

// recordAttempt records the end of an attempt for the run and its candidate.
func (g *generationRun) recordAttempt(candidate *route.Candidate, attempt types.AttemptTag, result *attemptResult) {
	g.consecutiveRefusals++
	if result.end != endNotStarted {
		g.consecutiveRefusals = 0
	}
	// An attempt whose stream broke before its first frame may still be running on
	// an engine, so the caller must not be told "not run". Only a refusal, or a
	// connection that was never made, proves that it isn't.
	g.ran = g.ran || result.accepted || result.end != endNotStarted
	g.recordEnd(candidate, attempt, result)
	if result.end != endCompleted && result.end != endCallerLeft {
		g.avoidCandidate(candidate.ID)
	}
}

// recordEnd updates the candidate's statistics and circuit by how an attempt
// ended there, and cancels what may still run.
func (g *generationRun) recordEnd(candidate *route.Candidate, attempt types.AttemptTag, result *attemptResult) {
	circuit := g.service.circuit(candidate.ID)
	if result.accepted {
		circuit.Success()
	}
	switch result.end {
	case endCompleted:
		candidate.Stats.RecordSuccess()
	case endCallerLeft:
		// A caller that sent an idempotency key may reconnect with it, so its generation
		// continues at the sidecar for a while.
		if !g.req.explicitKey {
			g.router.cancelAttempt(candidate.Address, g.id, attempt)
		}
	case endLost:
		candidate.Stats.RecordFailure(time.Now())
		if result.cause != causeEngineDied {
			circuit.Failure()
		}
		g.router.cancelAttempt(candidate.Address, g.id, attempt)
	case endSuperseded:
		if result.cause == causeStalled {
			candidate.Stats.RecordFailure(time.Now())
		}
		g.router.cancelAttempt(candidate.Address, g.id, attempt)
	case endNotStarted:
		if result.refused == nil {
			candidate.Stats.RecordFailure(time.Now())
			circuit.Failure()
		} else if types.Code(result.refused.GetCode()) == types.CodeLeaving {
			g.router.recordLeaving(g.service, candidate)
		}
	}
}

func (g *generationRun) avoidCandidate(id types.ProcessID) {
	if len(g.avoid) == maxAvoided {
		g.avoid = append(g.avoid[:0], g.avoid[1:]...)
	}
	g.avoid = append(g.avoid, id)
}
