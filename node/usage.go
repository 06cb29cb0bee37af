package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

const (
	// usageInterval is how often routers exchange what they use of limits.
	usageInterval = time.Second
	// usageTimeout bounds one exchange; a frozen router's report just lapses.
	usageTimeout = 500 * time.Millisecond
	// usagePeers is how many other routers are asked in one round, so that the
	// exchange costs a router the same among 400 as among 16.
	usagePeers = 16
	// usageMost is how many organisations one report names.
	usageMost = 64
	// slotsSlack lets a router fill more than its plain part of the slots, since
	// callers are never spread evenly over the routers.
	slotsSlack = 1.5
)

// usageExchange holds the newest own report for the others to fetch.
type usageExchange struct{ own atomic.Pointer[limit.Report] }

func (u *usageExchange) report() *streampb.UsageReport {
	own := u.own.Load()
	if own == nil {
		return &streampb.UsageReport{}
	}
	out := &streampb.UsageReport{Router: string(own.Router), Complete: own.Complete}
	for _, o := range own.Organisations {
		out.Organisations = append(out.Organisations, &streampb.OrganisationUsage{
			Organisation: string(o.Organisation), Wanted: o.Wanted,
			Inflight: uint32(o.Inflight), Peak: uint32(o.Peak), Pressed: o.Pressed,
		})
	}
	return out
}

func reportOf(in *streampb.UsageReport) limit.Report {
	out := limit.Report{Router: types.ProcessID(in.GetRouter()), Complete: in.GetComplete()}
	for _, o := range in.GetOrganisations() {
		out.Organisations = append(out.Organisations, limit.Usage{
			Organisation: types.Organisation(o.GetOrganisation()), Wanted: o.GetWanted(),
			Inflight: int(o.GetInflight()), Peak: int(o.GetPeak()), Pressed: o.GetPressed(),
		})
	}
	return out
}

func (r *Router) newLimits() {
	r.limiter = limit.New(limit.Options{
		Self:     r.opts.ID,
		Capacity: r.slots,
		Routers:  func() int { return max(1, len(r.routers())) },
		Recorder: r.recorder, Registerer: r.registry,
	})
}

// slots is how many requests this router may have at the backend servers at
// once: its part of what they can batch, with some slack.
func (r *Router) slots() int {
	all := r.router.Capacity()
	if all == 0 {
		return 1
	}
	return max(1, int(slotsSlack*float64(all)/float64(max(1, len(r.routers())))))
}

// exchangeUsage tells the limiter about the other routers' use once a second.
func (r *Router) exchangeUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		own := r.limiter.Usage(usageMost)
		r.usage.own.Store(&own)
		r.limiter.AddReports(r.fetchUsage(ctx, r.usageSample()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (r *Router) usageSample() []membership.Member {
	var others []membership.Member
	for _, m := range r.routers() {
		if m.ID != r.opts.ID {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), usagePeers)]
}

func (r *Router) fetchUsage(ctx context.Context, members []membership.Member) []limit.Report {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	var mu sync.Mutex
	var reports []limit.Report
	var wait sync.WaitGroup
	for _, m := range members {
		wait.Go(func() {
			client := streampb.NewRouterProtobufClient("http://"+m.Address, r.peer.Client())
			report, err := client.Usage(peer.Repeatable(ctx), &streampb.UsageRequest{})
			if err != nil || report.GetRouter() == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, reportOf(report))
		})
	}
	wait.Wait()
	return reports
}
