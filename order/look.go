package order

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/engine"
)

// view is one backend server as this pass sees it.
type view struct {
	target    Target
	loaded    []engine.Loaded
	reachable bool
	orders    []engine.Order // due; empty if it meets its target
}

// look reads what all engines serve.
func (r *Reconciler) look(ctx context.Context, targets []Target) []view {
	views := make([]view, len(targets))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for i, t := range targets {
		group.Go(func() error {
			views[i] = r.read(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
	for i := range views {
		r.note(&views[i])
	}
	return views
}

func (r *Reconciler) read(ctx context.Context, t Target) view {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	loaded, err := r.opts.Sidecar.Loaded(ctx, t.Address)
	if err != nil {
		return view{target: t}
	}
	return view{target: t, loaded: loaded, reachable: true, orders: plan(t, loaded)}
}

// note compares with earlier passes: a server that met this target and no
// longer does was ordered by somebody else, or restarted.
func (r *Reconciler) note(v *view) {
	if !v.reachable {
		return
	}
	addr, want := v.target.Address, fingerprint(v.target)
	if len(v.orders) == 0 {
		r.settled[addr] = want
		delete(r.loading, addr)
		return
	}
	if r.settled[addr] == want {
		r.opts.Recorder.Emit(EventOvertaken, "backend_server", addr, "fence", r.fence, "order", describe(v.orders[0]))
		delete(r.loading, addr)
	}
	delete(r.settled, addr)
}

// room returns how many more backend servers of each service may begin to load.
func (r *Reconciler) room(views []view) map[string]int {
	reachable, busy := map[string]int{}, map[string]int{}
	for _, v := range views {
		if !v.reachable {
			continue
		}
		reachable[v.target.Service]++
		if r.isLoading(v.target.Address) {
			busy[v.target.Service]++
		}
	}
	room := make(map[string]int, len(reachable))
	for service, n := range reachable {
		room[service] = max(1, int(r.opts.LoadingShare*float64(n))) - busy[service]
	}
	return room
}

func (r *Reconciler) isLoading(addr string) bool {
	since, ok := r.loading[addr]
	return ok && time.Since(since) < r.opts.LoadTimeout
}
