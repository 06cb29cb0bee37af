package limit

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

const (
	// reportTTL is how long another router's report is used.
	reportTTL = 4 * time.Second
	// maxGrowth limits the part of a router that takes more than its equal part, to
	// this multiple of its own last demand. Demand that grows fourfold between two
	// exchanges of reports is still met.
	maxGrowth = 4
	// minReportedRate is the request rate, in requests per second, up to which an
	// organisation that neither held nor lacked a permit is left out of reports.
	minReportedRate = 0.01
)

// Usage is a router's demand for, and use of, an organisation's limits.
type Usage struct {
	Organisation types.Organisation `json:"organisation"`
	Wanted       float64            `json:"wanted"`   // requests per second, refused ones included
	Inflight     int                `json:"inflight"` // permits held
	Peak         int                `json:"peak"`     // most permits held since the last report
	Pressed      bool               `json:"pressed"`  // a request lacked a permit since the last report
}

// Report is the usage of one router. If Complete is set, organisations that are
// left out use nothing there. Otherwise nothing is known about them, and the
// router's part of their limits can't be borrowed.
type Report struct {
	Router        types.ProcessID `json:"router"`
	Complete      bool            `json:"complete"`
	Organisations []Usage         `json:"organisations"`
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	report Report
	at     time.Time
}

// peerReports is a snapshot of the unexpired reports of other routers.
type peerReports struct {
	complete    int // number of complete reports
	partial     int // number of other reports
	usage       map[types.Organisation][]Usage
	completeFor map[types.Organisation]int // number of complete reports that list the organisation
}

// Usage returns a report about the time since the last call. It lists at most
// maxOrganisations organisations, those with the highest request rate first; 0
// means all. It should be called about once a second.
func (l *Limiter) Usage(maxOrganisations int) Report {
	now := l.opts.Now()
	l.peerMu.Lock()
	elapsed := now.Sub(l.lastUsage).Seconds()
	l.lastUsage = now
	l.peerMu.Unlock()
	out := Report{Router: l.opts.Self, Complete: true}
	l.states.Range(func(_, value any) bool {
		st := value.(*state)
		usage := st.takeUsage(elapsed)
		if usage.Wanted > minReportedRate || usage.Peak > 0 || usage.Pressed {
			out.Organisations = append(out.Organisations, usage)
		}
		return true
	})
	sort.Slice(out.Organisations, func(i, j int) bool { return out.Organisations[i].Wanted > out.Organisations[j].Wanted })
	if maxOrganisations > 0 && len(out.Organisations) > maxOrganisations {
		out.Organisations = out.Organisations[:maxOrganisations]
		out.Complete = false
	}
	l.epoch.Add(1)
	return out
}

// takeUsage returns the organisation's usage since the last call and resets the
// counters.
func (st *state) takeUsage(elapsed float64) Usage {
	rate := float64(st.requests.Swap(0))
	if elapsed > 0 {
		rate /= elapsed
	}
	st.demandRate.Store(math.Float64bits(rate))
	held := st.inflight.Load()
	return Usage{
		Organisation: st.name, Wanted: rate, Inflight: int(held),
		Peak:    int(max(held, st.peak.Swap(held))),
		Pressed: st.lackedPermit.Swap(st.waiting.Load() > 0),
	}
}

// AddReports adds the reports of other routers. A report replaces the previous one
// of its router, and expires if it isn't replaced within reportTTL.
func (l *Limiter) AddReports(reports []Report) {
	now := l.opts.Now()
	l.peerMu.Lock()
	for _, r := range reports {
		if r.Router != l.opts.Self {
			l.reports[r.Router] = receivedReport{report: r, at: now}
		}
	}
	next := &peerReports{usage: map[types.Organisation][]Usage{}, completeFor: map[types.Organisation]int{}}
	for router, r := range l.reports {
		if now.Sub(r.at) > reportTTL {
			delete(l.reports, router)
			continue
		}
		next.add(r.report)
	}
	l.peerMu.Unlock()
	l.peers.Store(next)
	l.epoch.Add(1)
	l.Refresh()
}

func (p *peerReports) add(r Report) {
	if r.Complete {
		p.complete++
	} else {
		p.partial++
	}
	for _, u := range r.Organisations {
		p.usage[u.Organisation] = append(p.usage[u.Organisation], u)
		if r.Complete {
			p.completeFor[u.Organisation]++
		}
	}
}

// computeShare computes this router's share of an organisation's limits.
func (l *Limiter) computeShare(st *state, limits OrganisationLimits, now time.Time) *share {
	routers := max(1, l.opts.Routers())
	reports := l.peers.Load()
	usage := reports.usage[st.name]
	idle := reports.complete - reports.completeFor[st.name] // routers that don't use the organisation's limits
	unknown := max(0, routers-1-len(usage)-idle)            // routers whose usage isn't known
	ownRate := math.Float64frombits(st.demandRate.Load())
	out := &share{weight: limits.Weight, priority: limits.Priority, concurrent: -1}
	out.queued = (limits.Queued + routers - 1) / routers
	if limits.RequestsPerSecond > 0 {
		out.rate = maxMinShare(limits.RequestsPerSecond, routers, unknown, ownRate, demands(usage, Usage.rate))
	}
	if limits.Concurrent > 0 {
		ownPermits := float64(max(st.peak.Load(), st.inflight.Load()) + st.waiting.Load())
		permits := maxMinShare(float64(limits.Concurrent), routers, unknown, ownPermits, demands(usage, Usage.permits))
		out.concurrent = l.wholePermits(permits, limits, routers, unknown, usage)
	}
	return out
}

// rate returns the request rate that a router may need before its next report.
func (u Usage) rate() float64 { return u.Wanted }

// permits returns how many permits a router may need before its next report. A
// router that lacked permits may need any number.
func (u Usage) permits() float64 {
	if u.Pressed {
		return math.Inf(1)
	}
	return float64(u.Peak)
}

// demands returns the demand in each usage, in ascending order.
func demands(usage []Usage, of func(Usage) float64) []float64 {
	out := make([]float64, len(usage))
	for i, u := range usage {
		out[i] = of(u)
	}
	sort.Float64s(out)
	return out
}

// maxMinShare returns this router's part of a limit by max-min fairness. Every
// router is entitled to an equal part (limit / routers) and may borrow what the
// others leave unused according to their reports, whose demands are given in
// ascending order. Routers without a report are assumed to use their equal part.
// Borrowing is limited to maxGrowth times this router's own last demand, so that
// routers whose demand rises at the same time don't each take all that is left.
func maxMinShare(limit float64, routers, unknown int, own float64, others []float64) float64 {
	equal := limit / float64(routers)
	left := limit - float64(unknown)*equal
	sharing := len(others) + 1
	for _, demand := range others {
		level := left / float64(sharing)
		if demand >= level {
			break
		}
		left -= demand
		sharing--
	}
	level := left / float64(sharing)
	return min(max(level, equal), max(equal, maxGrowth*own))
}

// wholePermits rounds a router's part of a concurrency limit to whole permits. The
// fraction is rounded up at just enough routers, always the same ones, to make the
// sum right on average. A router that is left without any permit may still use one
// while the reports show that one is free.
func (l *Limiter) wholePermits(part float64, limits OrganisationLimits, routers, unknown int, usage []Usage) int {
	permits := int(part)
	if part-float64(permits) > l.roundingThreshold(limits.Name) {
		permits++
	}
	if permits > 0 {
		return permits
	}
	held := float64(unknown) * float64(limits.Concurrent) / float64(routers)
	for _, u := range usage {
		if u.Pressed {
			return 0
		}
		held += float64(u.Inflight)
	}
	if held+1 <= float64(limits.Concurrent) {
		return 1
	}
	return 0
}

// roundingThreshold returns a hash of this router and an organisation as a number
// in [0,1).
func (l *Limiter) roundingThreshold(org types.Organisation) float64 {
	return float64(xxhash.Sum64String(string(l.opts.Self)+"/"+string(org))>>11) / (1 << 53)
}
