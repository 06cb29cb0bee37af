package routebench

import (
	"slices"
	"time"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// Model of the network between routers and runners.
const (
	zoneDelay        = time.Millisecond        // one-way delay between zones
	reportInterval   = time.Second             // between two load reports of a runner
	reportDelay      = 300 * time.Millisecond  // from the runner to the routers
	eventsInterval   = time.Second             // between two batches of cache events
	eventsDelay      = 2 * time.Second         // from the runner to the routers
	eventLossRate    = 0.1                     // share of lost batches
	viewDelay        = 1500 * time.Millisecond // until the routers' views show a change of membership
	maxRetries       = 4                       // attempts after the first one since the caller last arrived
	maxCallerRetries = 5                       // refusals after which the caller still returns
)

// router is one router with its own view; it runs the real policy code.
type router struct {
	sim             *sim
	name            types.ProcessID // determines the subset
	zone            types.Zone
	policy          route.Policy
	view            *route.View
	directoryPolicy *directoryPolicy // nil unless package directory is used
	budget          *retry.Budget
	circuits        map[types.ProcessID]*retry.Circuit
}

// attempt is one sending of a request to a runner.
type attempt struct {
	route.Dispatch
	candidate *route.Candidate
	arrivedAt time.Duration // when the request reached the runner
	load      *serverLoad   // nil unless package directory is used
}

// rebuild builds the view from the runners that membership reports as alive.
func (r *router) rebuild() {
	var members []route.Candidate
	for _, runner := range r.sim.runners {
		if runner.alive {
			members = append(members, route.Candidate{ID: runner.id, Zone: runner.zone, Incarnation: runner.incarnation, Capacity: batchSize})
		}
	}
	members = route.Subset(r.name, members, r.sim.opts.subset)
	if r.directoryPolicy != nil {
		r.directoryPolicy.apply(members)
	}
	r.view = route.NewView(r.view, members, r.sim.clock.time())
}

func (r *router) circuit(id types.ProcessID) *retry.Circuit {
	if r.circuits[id] == nil {
		r.circuits[id] = retry.NewCircuit(retry.CircuitOptions{Now: r.sim.clock.time})
	}
	return r.circuits[id]
}

// receive takes a request from its caller.
func (r *router) receive(q *request) {
	q.router, q.retries = r, 0
	r.sim.result.requests++
	r.budget.RecordRequest()
	r.send(q, nil)
}

// send places the request on a candidate; arrive retries elsewhere until one
// accepts or the budget is exhausted.
func (r *router) send(q *request, avoid []types.ProcessID) {
	if r.directoryPolicy != nil {
		r.directoryPolicy.promptTokens = len(q.blocks) * tokensPerBlock
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
	sent := &attempt{candidate: c, Dispatch: c.Begin(&query), load: r.directoryPolicy.begin(c.ID, q)}
	q.gotFirstToken = false
	hop := time.Duration(0)
	if c.Zone != r.zone {
		hop = zoneDelay
	}
	r.sim.clock.after(hop, func() { r.arrive(q, sent, query.Avoid) })
}

// arrive handles the arrival of an attempt at its runner. If the runner refuses
// it, another candidate is tried after a backoff.
func (r *router) arrive(q *request, sent *attempt, avoid []types.ProcessID) {
	c := sent.candidate
	runner := r.sim.byID[c.ID]
	sent.arrivedAt = r.sim.clock.now
	q.attempt = sent
	if runner.incarnation == c.Incarnation && runner.accept(q) {
		r.sim.result.recordDispatch(r.sim, runner)
		return
	}
	q.attempt.End()
	if runner.alive {
		sent.load.end()
	} else {
		sent.load.lost()
		c.Stats.RecordFailure(r.sim.clock.time())
		r.circuit(c.ID).Failure()
	}
	q.retries++
	if q.retries > maxRetries || !r.sim.opts.noRetryBudget && !r.budget.Allow() {
		r.shed(q)
		return
	}
	wait := retry.Backoff(q.retries)
	r.sim.clock.after(wait, func() { r.send(q, append(slices.Clip(avoid), c.ID)) })
}

// shed refuses a request as not run; its caller returns after the time it is told.
func (r *router) shed(q *request) {
	r.sim.result.shed++
	q.callerRetries++
	if q.callerRetries > maxCallerRetries {
		r.sim.result.gaveUp++
		return
	}
	wait := retry.RetryAfter(r.view.Load())
	r.sim.clock.after(wait, func() { r.sim.randomRouter().receive(q) })
}

// token handles a token emitted by a runner. Every eighth one of a request updates
// the candidate's step time.
func (r *router) token(q *request, runner *runner) {
	c := q.attempt.candidate
	q.lastTokenAt = r.sim.clock.now
	if q.emitted%8 == 0 {
		c.Stats.ObserveStep(runner.lastStep)
	}
	if q.gotFirstToken {
		return
	}
	q.gotFirstToken = true
	q.attempt.load.promptRead()
	took := r.sim.clock.now - q.arrivedAt
	q.attempt.FirstToken(r.sim.clock.now - q.attempt.arrivedAt)
	c.Stats.RecordSuccess()
	r.circuit(c.ID).Success()
	if q.emitted == 1 {
		q.firstTokenAt = r.sim.clock.now
		r.sim.result.recordFirstToken(r.sim, q, took)
	}
	if r.sim.opts.learn {
		route.Learn(r.policy, c, q.blocks[:min(len(q.blocks), route.MaxBlocks)])
	}
}

func (r *router) ended(q *request, _ *runner) {
	q.attempt.End()
	q.attempt.load.end()
	r.sim.result.done++
	r.sim.followUp(q)
}

// lost resumes a request from the emitted tokens after its runner has died.
func (r *router) lost(q *request, _ *runner) {
	c := q.attempt.candidate
	q.attempt.End()
	q.attempt.load.lost()
	c.Stats.RecordFailure(r.sim.clock.time())
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
