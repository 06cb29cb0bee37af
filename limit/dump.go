package limit

import (
	"sort"

	"github.com/pearyard/pearyard/types"
)

// Dump is the limiter's state for operators.
type Dump struct {
	Capacity      int                `json:"capacity"`
	Used          map[string]int     `json:"used"`       // slots by class
	Waiting       int64              `json:"waiting"`    // requests that wait for a slot
	DrainRate     float64            `json:"drain_rate"` // slots released per second
	Routers       int                `json:"routers"`
	Reporting     int                `json:"reporting"` // other routers with an unexpired report
	Organisations []DumpOrganisation `json:"organisations"`
}

// DumpOrganisation is an organisation seen by this router, with the router's
// share of its limits.
type DumpOrganisation struct {
	Name       types.Organisation `json:"name"`
	Inflight   int                `json:"inflight"`        // running requests
	Waiting    int                `json:"waiting"`         // for a slot or a permit
	Rate       float64            `json:"rate_here"`       // requests per second; 0: no limit
	Concurrent int                `json:"concurrent_here"` // -1: no limit
	Queued     int                `json:"queued_here"`     // requests that may wait
}

// Dump returns the state. It lists at most maxOrganisations organisations, those
// with the most waiting and running requests first; 0 means all.
func (l *Limiter) Dump(maxOrganisations int) Dump {
	now := l.opts.Now()
	used := l.slots.counts()
	reports := l.peers.Load()
	out := Dump{
		Capacity: l.opts.Capacity(), Waiting: l.slotWaiters.Load(), Routers: l.opts.Routers(),
		Reporting: reports.complete + reports.partial, Used: map[string]int{},
	}
	for class := range classes {
		out.Used[class.String()] = used.of(class)
	}
	l.states.Range(func(_, value any) bool {
		st := value.(*state)
		sh := l.shareOf(st, now)
		out.Organisations = append(out.Organisations, DumpOrganisation{
			Name: st.name, Inflight: int(st.inflight.Load()), Waiting: int(st.waiting.Load()),
			Rate: sh.rate, Concurrent: sh.concurrent, Queued: sh.queued,
		})
		return true
	})
	sort.Slice(out.Organisations, func(i, j int) bool {
		a, b := out.Organisations[i], out.Organisations[j]
		if a.Waiting+a.Inflight != b.Waiting+b.Inflight {
			return a.Waiting+a.Inflight > b.Waiting+b.Inflight
		}
		return a.Name < b.Name
	})
	if maxOrganisations > 0 && len(out.Organisations) > maxOrganisations {
		out.Organisations = out.Organisations[:maxOrganisations]
	}
	l.mu.Lock()
	out.DrainRate = l.drain.rate
	l.mu.Unlock()
	return out
}
