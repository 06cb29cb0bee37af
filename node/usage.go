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
	// usageInterval is how often routers exchange their usage of limits.
	usageInterval = time.Second
	// usageTimeout limits one exchange. The report of a frozen router simply expires.
	usageTimeout = 500 * time.Millisecond
	// maxUsagePeers is how many other routers are queried per round, so that the exchange
	// costs a router the same among 400 as among 16.
	maxUsagePeers = 16
	// maxReportedOrganisations is how many organisations one report includes.
	maxReportedOrganisations = 64
	// concurrencySlack lets a router use more than an equal share of the slots, because
	// callers are never spread evenly over the routers.
	concurrencySlack = 1.5
)

// usageExchange holds this router's latest report for the others to fetch.
type usageExchange struct{ ownReport atomic.Pointer[limit.Report] }

func (u *usageExchange) toWire() *streampb.UsageReport {
	own := u.ownReport.Load()
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

func reportFromWire(in *streampb.UsageReport) limit.Report {
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
		Capacity: r.concurrencyShare,
		Routers:  func() int { return max(1, len(r.routers())) },
		Recorder: r.recorder, Registerer: r.registry,
	})
}

// concurrencyShare returns how many requests this router may have at the backend servers
// at once: its share of their capacity, with some slack.
func (r *Router) concurrencyShare() int {
	all := r.router.Capacity()
	if all == 0 {
		return 1
	}
	return max(1, int(concurrencySlack*float64(all)/float64(max(1, len(r.routers())))))
}

// exchangeUsage passes the usage of the other routers to the limiter once a second.
func (r *Router) exchangeUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		own := r.limiter.Usage(maxReportedOrganisations)
		r.usage.ownReport.Store(&own)
		r.limiter.AddReports(r.fetchUsage(ctx, r.sampleRouters()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// sampleRouters returns up to maxUsagePeers other routers, chosen at random.
func (r *Router) sampleRouters() []membership.Member {
	var others []membership.Member
	for _, m := range r.routers() {
		if m.ID != r.opts.ID {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxUsagePeers)]
}

// fetchUsage returns the reports of the members that respond within usageTimeout.
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
			reports = append(reports, reportFromWire(report))
		})
	}
	wait.Wait()
	return reports
}
