package routebench

import (
	"slices"
	"time"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// Model of the way between routers and runners.
const (
	zoneHop     = time.Millisecond // one way between zones
	reportEvery = time.Second
	reportLag   = 300 * time.Millisecond
	eventsEvery = time.Second
	eventsLag   = 2 * time.Second
	eventsLost  = 0.1 // of the batches
	viewLag     = 1500 * time.Millisecond
	maxTries    = 4 // after the first, since the caller came
	maxReturns  = 5
)

// router is one router with its own view; it runs the real policy.
type router struct {
	sim      *sim
	name     types.ProcessID // decides on the subset
	zone     types.Zone
	policy   route.Policy
	view     *route.View
	listed   *listed // nil: the policy goes by the view
	budget   *retry.Budget
	circuits map[types.ProcessID]*retry.Circuit
}

// sending is one try that a runner has accepted.
type sending struct {
	route.Sent
	candidate *route.Candidate
	at        time.Duration
	load      *load
}

// rebuild makes the view of the runners that membership knows as alive.
func (r *router) rebuild() {
	var members []route.Candidate
	for _, runner := range r.sim.runners {
		if runner.alive {
			members = append(members, route.Candidate{ID: runner.id, Zone: runner.zone, Incarnation: runner.incarnation, Capacity: batchSize})
		}
	}
	members = route.Subset(r.name, members, r.sim.opts.subset)
	if r.listed != nil {
		r.listed.list(members)
	}
	r.view = route.NewView(r.view, members, r.sim.clock.time())
}

func (r *router) circuit(id types.ProcessID) *retry.Circuit {
	if r.circuits[id] == nil {
		r.circuits[id] = retry.NewCircuit(retry.CircuitOptions{Now: r.sim.clock.time})
	}
	return r.circuits[id]
}

// ask takes in a request from its caller.
func (r *router) ask(q *request) {
	q.router, q.retries = r, 0
	r.sim.result.asks++
	r.budget.RecordRequest()
	r.send(q, nil)
}

// send tries one candidate after the other until one accepts, or the budget is spent.
func (r *router) send(q *request, avoid []types.ProcessID) {
	if r.listed != nil {
		r.listed.prompt = len(q.blocks) * tokensPerBlok
	}
	query := route.Query{Blocks: q.blocks[:min(len(q.blocks), route.MaxBlocks)], Zone: r.zone, Avoid: avoid}
	c, ok := r.policy.Pick(&query, r.view)
	for ok && !r.circuit(c.ID).Allow() {
		query.Avoid = append(slices.Clip(query.Avoid), c.ID)
		c, ok = r.policy.Pick(&query, r.view)
	}
	if !ok {
		r.shed(q)
		return
	}
	r.sim.result.sent++
	sent := &sending{candidate: c, Sent: c.Begin(&query), load: r.listed.begun(c.ID, q)}
	q.first = false
	hop := time.Duration(0)
	if c.Zone != r.zone {
		hop = zoneHop
	}
	r.sim.clock.after(hop, func() { r.arrive(q, sent, query.Avoid) })
}

func (r *router) arrive(q *request, sent *sending, avoid []types.ProcessID) {
	c := sent.candidate
	runner := r.sim.byID[c.ID]
	sent.at = r.sim.clock.now
	q.sentTo = sent
	if runner.incarnation == c.Incarnation && runner.accept(q) {
		r.sim.result.dispatch(r.sim, runner)
		return
	}
	q.sentTo.End()
	if runner.alive {
		sent.load.end()
	} else {
		sent.load.lost()
		c.Stats.Failed(r.sim.clock.time())
		r.circuit(c.ID).Failure()
	}
	q.retries++
	if q.retries > maxTries || !r.sim.opts.unbounded && !r.budget.Allow() {
		r.shed(q)
		return
	}
	wait := retry.Backoff(q.retries)
	r.sim.clock.after(wait, func() { r.send(q, append(slices.Clip(avoid), c.ID)) })
}

// shed refuses a request as not run; its caller comes back when told to.
func (r *router) shed(q *request) {
	r.sim.result.shed++
	q.returns++
	if q.returns > maxReturns {
		r.sim.result.gaveUp++
		return
	}
	wait := retry.RetryAfter(r.view.Load())
	r.sim.clock.after(wait, func() { r.sim.anyRouter().ask(q) })
}

// token takes in a token.
func (r *router) token(q *request, runner *runner) {
	c := q.sentTo.candidate
	q.lastAt = r.sim.clock.now
	if q.emitted%8 == 0 {
		c.Stats.ObserveStep(runner.lastStep)
	}
	if q.first {
		return
	}
	q.first = true
	q.sentTo.load.read()
	took := r.sim.clock.now - q.asked
	q.sentTo.FirstToken(r.sim.clock.now - q.sentTo.at)
	c.Stats.Succeeded()
	r.circuit(c.ID).Success()
	if q.emitted == 1 {
		q.firstAt = r.sim.clock.now
		r.sim.result.firstToken(r.sim, q, took)
	}
	if r.sim.opts.learn {
		route.Learn(r.policy, c, q.blocks[:min(len(q.blocks), route.MaxBlocks)])
	}
}

func (r *router) ended(q *request, _ *runner) {
	q.sentTo.End()
	q.sentTo.load.end()
	r.sim.result.done++
	r.sim.followUp(q)
}

// lost resumes a request from what was emitted.
func (r *router) lost(q *request, _ *runner) {
	c := q.sentTo.candidate
	q.sentTo.End()
	q.sentTo.load.lost()
	c.Stats.Failed(r.sim.clock.time())
	r.circuit(c.ID).Failure()
	r.sim.result.resumed++
	r.send(q, []types.ProcessID{c.ID})
}

func (r *router) report(id types.ProcessID, incarnation types.Incarnation, load types.Load) {
	if c, ok := r.view.Find(id); ok && c.Incarnation == incarnation {
		c.Stats.Report(load)
	}
}

func (r *router) cacheEvents(id types.ProcessID, incarnation types.Incarnation, events []engine.CacheEvent) {
	if c, ok := r.view.Find(id); ok && c.Incarnation == incarnation {
		route.CacheEvents(r.policy, c, events)
	}
}
