package order

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pearyard/pearyard/engine"
)

// serverState is the state of one backend server in a pass.
type serverState struct {
	target    Target
	loaded    []engine.Loaded
	reachable bool
	orders    []engine.Order // needed to reach the target; empty if it is reached
}

// readAll reads what all engines have loaded.
func (r *Reconciler) readAll(ctx context.Context, targets []Target) []serverState {
	servers := make([]serverState, len(targets))
	var group errgroup.Group
	group.SetLimit(parallelReads)
	for i, t := range targets {
		group.Go(func() error {
			servers[i] = r.read(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
	for i := range servers {
		r.recordProgress(&servers[i])
	}
	return servers
}

func (r *Reconciler) read(ctx context.Context, t Target) serverState {
	ctx, cancel := context.WithTimeout(ctx, r.opts.CallTimeout)
	defer cancel()
	loaded, err := r.opts.Sidecar.Loaded(ctx, t.Address)
	if err != nil {
		return serverState{target: t}
	}
	return serverState{target: t, loaded: loaded, reachable: true, orders: plan(t, loaded)}
}

// recordProgress compares a server with earlier passes: if it had reached this
// target and no longer does, another process has sent an order or the engine has
// restarted.
func (r *Reconciler) recordProgress(s *serverState) {
	if !s.reachable {
		return
	}
	addr, want := s.target.Address, fingerprint(s.target)
	if len(s.orders) == 0 {
		r.reached[addr] = want
		delete(r.loading, addr)
		return
	}
	if r.reached[addr] == want {
		r.opts.Recorder.Emit(EventOvertaken, "backend_server", addr, "fence", r.fence, "order", describe(s.orders[0]))
		delete(r.loading, addr)
	}
	delete(r.reached, addr)
}

// loadCapacity returns how many more backend servers of each service may start to
// load.
func (r *Reconciler) loadCapacity(servers []serverState) map[string]int {
	reachable, loading := map[string]int{}, map[string]int{}
	for _, s := range servers {
		if !s.reachable {
			continue
		}
		reachable[s.target.Service]++
		if r.isLoading(s.target.Address) {
			loading[s.target.Service]++
		}
	}
	capacity := make(map[string]int, len(reachable))
	for service, n := range reachable {
		capacity[service] = max(1, int(r.opts.LoadingShare*float64(n))) - loading[service]
	}
	return capacity
}

func (r *Reconciler) isLoading(addr string) bool {
	since, ok := r.loading[addr]
	return ok && time.Since(since) < r.opts.LoadTimeout
}
