package order

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/engine"
)

// pass is what one pass has left to give.
type pass struct {
	*Reconciler
	ctx       context.Context
	room      map[string]int
	available map[Artefact]bool
}

// serve sends a server's orders; false ends the pass, since this process may no
// longer act.
func (p *pass) serve(v *view) bool {
	if len(v.orders) == 0 || p.isLoading(v.target.Address) {
		return true
	}
	heavy := slices.ContainsFunc(v.orders, loads)
	if heavy && p.room[v.target.Service] <= 0 {
		return true
	}
	for _, o := range v.orders {
		if loads(o) && !p.canFetch(o) {
			continue
		}
		if err := p.send(v.target.Address, o); err != nil {
			return !errors.Is(err, errNoLease) && !errors.Is(err, engine.ErrStaleFence)
		}
		if heavy && !p.isLoading(v.target.Address) {
			p.loading[v.target.Address] = time.Now()
			p.room[v.target.Service]--
		}
	}
	return p.readBack(v)
}

// canFetch asks the weight store once per pass and artefact: it is rate-limited,
// and an engine ordered to load what isn't there may drop what it serves.
func (p *pass) canFetch(o engine.Order) bool {
	a := Artefact{Kind: o.Kind, Name: o.Name, Version: o.Version}
	if known, ok := p.available[a]; ok {
		return known
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.CallTimeout)
	defer cancel()
	there, err := p.opts.Weights.Available(ctx, o.Name, o.Version)
	p.available[a] = there && err == nil
	if err == nil && !there && !p.absent[a] {
		p.opts.Recorder.Emit(EventUnavailable, "name", o.Name, "version", o.Version)
	}
	if err == nil {
		p.absent[a] = !there
	}
	return p.available[a]
}

var errNoLease = errors.New("order: lease not held")

// send asks the lease again just before the order goes out, since the pass may
// have been paused since it began: a replaced holder's order would undo the new
// holder's. The call ends with the hold. What is paused between this look and
// the send is stopped by the fencing number (package doc, cases 2 and 3).
func (p *pass) send(addr string, o engine.Order) error {
	fence, until, ok := p.opts.Lease.Held()
	if !ok || fence != p.fence {
		p.opts.Recorder.Emit(EventLeaseGone, "backend_server", addr, "order", describe(o), "fence", p.fence)
		return errNoLease
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
	p.opts.Recorder.Emit(EventOrdered, "backend_server", addr, "order", describe(o), "fence", fence)
	return nil
}

// readBack looks at the result. A larger number there means that another holder
// acts: this one stops, and that one's passes decide. An older order that came
// last shows as a difference in the next pass and is corrected by it.
func (p *pass) readBack(v *view) bool {
	after := p.read(p.ctx, v.target)
	if !after.reachable {
		return true
	}
	v.loaded, v.orders = after.loaded, after.orders
	if len(after.orders) == 0 {
		p.note(&after)
	}
	for _, l := range after.loaded {
		if l.Fence > p.fence {
			p.opts.Recorder.Emit(EventOvertaken, "backend_server", v.target.Address, "fence", p.fence, "by", l.Fence)
			return false
		}
	}
	return true
}
