package order

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
)

// pass is one pass over all backend servers, with its remaining limits.
type pass struct {
	*Reconciler
	ctx       context.Context
	capacity  map[string]int    // by service: how many more backend servers may start to load
	available map[Artefact]bool // whether the weight store has them, as asked in this pass
}

// sendOrders sends the orders for a server. It returns false to end the pass if
// this process no longer holds the lease. After any other error, the server's
// remaining orders are left to the next pass.
func (p *pass) sendOrders(s *serverState) bool {
	if len(s.orders) == 0 || p.isLoading(s.target.Address) {
		return true
	}
	fetches := slices.ContainsFunc(s.orders, fetchesWeights)
	if fetches && p.capacity[s.target.Service] <= 0 {
		return true
	}
	for _, o := range s.orders {
		if fetchesWeights(o) && !p.canFetch(o) {
			continue
		}
		if err := p.send(s.target.Address, o); err != nil {
			return !errors.Is(err, errLeaseNotHeld) && !errors.Is(err, engine.ErrStaleFence)
		}
		if fetches && !p.isLoading(s.target.Address) {
			p.loading[s.target.Address] = time.Now()
			p.capacity[s.target.Service]--
		}
	}
	return p.readBack(s)
}

// canFetch reports whether the weight store has an artefact, since an engine that
// is ordered to load a missing one may unload what it serves. The store limits
// the rate of requests, so it is asked once per pass and artefact.
func (p *pass) canFetch(o engine.Order) bool {
	a := Artefact{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if known, ok := p.available[a]; ok {
		return known
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.CallTimeout)
	defer cancel()
	found, err := p.opts.Weights.Available(ctx, o.Name, o.Version)
	p.available[a] = found && err == nil
	if err == nil && !found && !p.reportedAbsent[a] {
		p.opts.Recorder.Emit(EventArtefactUnavailable, "name", o.Name, "version", o.Version)
	}
	if err == nil {
		p.reportedAbsent[a] = !found
	}
	return p.available[a]
}

var errLeaseNotHeld = errors.New("order: lease not held")

// send checks the lease again just before it sends the order, because the process
// may have been paused since the pass began, and a replaced holder's order would
// undo the new holder's. The call is cancelled when the lease ends. If the process
// is paused between the check and the send, the fencing number protects the engine
// (cases 2 and 3 of the package documentation).
func (p *pass) send(addr string, o engine.Order) error {
	fence, until, ok := p.opts.Lease.Held()
	if !ok || fence != p.fence {
		p.opts.Recorder.Emit(EventLeaseLost, "backend_server", addr, "order", describe(o), "fence", p.fence)
		return errLeaseNotHeld
	}
	ctx, cancel := context.WithDeadline(p.ctx, until)
	defer cancel()
	ctx, cancelCall := context.WithTimeout(ctx, p.opts.CallTimeout)
	defer cancelCall()
	o.Fence = fence
	err := p.opts.Sidecar.Order(ctx, addr, o)
	p.metrics.orders.WithLabelValues(string(o.Kind), resultOf(err)).Inc()
	if err != nil {
		p.opts.Recorder.Emit(EventOrderFailed, "backend_server", addr, "order", describe(o), "fence", fence, "error", err)
		return err
	}
	p.opts.Recorder.Emit(EventOrderSent, "backend_server", addr, "order", describe(o), "fence", fence)
	return nil
}

// readBack reads the result of the orders. A larger fencing number there means
// that there is a newer lease holder: readBack returns false, and the newer
// holder's passes decide. An older order that took effect last is seen as a
// difference by the next pass, which corrects it.
func (p *pass) readBack(s *serverState) bool {
	after := p.read(p.ctx, s.target)
	if !after.reachable {
		return true
	}
	s.loaded, s.orders = after.loaded, after.orders
	if len(after.orders) == 0 {
		p.recordProgress(&after)
	}
	for _, l := range after.loaded {
		if l.Fence > p.fence {
			p.opts.Recorder.Emit(EventOvertaken, "backend_server", s.target.Address, "fence", p.fence, "by", l.Fence)
			return false
		}
	}
	return true
}
