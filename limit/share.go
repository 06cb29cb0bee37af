package limit

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pearyard/pearyard/types"
)

const (
	// reportLife is how long another router's report is believed.
	reportLife = 4 * time.Second
	// growth is how far above what it wanted last a router may go beyond its
	// plain part: demand that grows fourfold within one round of reports is met.
	growth = 4
	// rateFloor is the wanted rate below which an organisation isn't reported.
	rateFloor = 0.01
)

// Usage is what one router wants and uses of an organisation's limits.
type Usage struct {
	Organisation types.Organisation `json:"organisation"`
	Wanted       float64            `json:"wanted"`   // requests a second, refused ones included
	Inflight     int                `json:"inflight"` // places held
	Peak         int                `json:"peak"`     // most held since the last report
	Pressed      bool               `json:"pressed"`  // places were wanted in vain
}

// Report is the usage of one router. Complete says that organisations left out
// use nothing there; else nothing may be borrowed on the strength of it.
type Report struct {
	Router        types.ProcessID `json:"router"`
	Complete      bool            `json:"complete"`
	Organisations []Usage         `json:"organisations"`
}

type received struct {
	report Report
	at     time.Time
}

// peers is the snapshot of what other routers reported.
type peers struct {
	complete int // fresh routers whose report is complete
	partial  int // fresh routers whose report is not
	usage    map[types.Organisation][]Usage
	wholes   map[types.Organisation]int // of usage, how many from complete reports
}

// Usage reports on what was wanted since the last call, the most wanted first;
// most bounds the length, 0 is no bound. Call it about once a second.
func (l *Limiter) Usage(most int) Report {
	now := l.opts.Now()
	l.peerMu.Lock()
	passed := now.Sub(l.reported).Seconds()
	l.reported = now
	l.peerMu.Unlock()
	out := Report{Router: l.opts.Self, Complete: true}
	l.states.Range(func(_, value any) bool {
		st := value.(*state)
		usage := st.usage(passed)
		if usage.Wanted > rateFloor || usage.Peak > 0 || usage.Pressed {
			out.Organisations = append(out.Organisations, usage)
		}
		return true
	})
	sort.Slice(out.Organisations, func(i, j int) bool { return out.Organisations[i].Wanted > out.Organisations[j].Wanted })
	if most > 0 && len(out.Organisations) > most {
		out.Organisations = out.Organisations[:most]
		out.Complete = false
	}
	l.epoch.Add(1)
	return out
}

// usage closes the organisation's window of measurement.
func (st *state) usage(passed float64) Usage {
	wanted := float64(st.wanted.Swap(0))
	if passed > 0 {
		wanted /= passed
	}
	st.seenRate.Store(math.Float64bits(wanted))
	held := st.inflight.Load()
	return Usage{
		Organisation: st.name, Wanted: wanted, Inflight: int(held),
		Peak:    int(max(held, st.peak.Swap(held))),
		Pressed: st.pressed.Swap(st.waiting.Load() > 0),
	}
}

// Peer takes in reports of other routers. Reports that aren't repeated within
// reportLife lose force.
func (l *Limiter) Peer(reports []Report) {
	now := l.opts.Now()
	l.peerMu.Lock()
	for _, r := range reports {
		if r.Router != l.opts.Self {
			l.reports[r.Router] = received{report: r, at: now}
		}
	}
	next := &peers{usage: map[types.Organisation][]Usage{}, wholes: map[types.Organisation]int{}}
	for router, r := range l.reports {
		if now.Sub(r.at) > reportLife {
			delete(l.reports, router)
			continue
		}
		next.add(r.report)
	}
	l.peerMu.Unlock()
	l.peers.Store(next)
	l.epoch.Add(1)
	l.Kick()
}

func (p *peers) add(r Report) {
	if r.Complete {
		p.complete++
	} else {
		p.partial++
	}
	for _, u := range r.Organisations {
		p.usage[u.Organisation] = append(p.usage[u.Organisation], u)
		if r.Complete {
			p.wholes[u.Organisation]++
		}
	}
}

// divide works out this router's share of an organisation's limits.
func (l *Limiter) divide(st *state, limits OrganisationLimits, now time.Time) *share {
	routers := max(1, l.opts.Routers())
	view := l.peers.Load()
	usage := view.usage[st.name]
	idle := view.complete - view.wholes[st.name]
	unknown := max(0, routers-1-len(usage)-idle)
	own := math.Float64frombits(st.seenRate.Load())
	out := &share{weight: limits.Weight, priority: limits.Priority, concurrent: -1}
	out.queued = (limits.Queued + routers - 1) / routers
	if limits.RequestsPerSecond > 0 {
		out.rate = portion(limits.RequestsPerSecond, routers, unknown, own, demands(usage, Usage.rate))
	}
	if limits.Concurrent > 0 {
		holds := float64(max(st.peak.Load(), st.inflight.Load()) + st.waiting.Load())
		x := portion(float64(limits.Concurrent), routers, unknown, holds, demands(usage, Usage.places))
		out.concurrent = l.whole(x, limits, routers, unknown, usage)
	}
	return out
}

func (u Usage) rate() float64 { return u.Wanted }

// places is how many places a router may want before its next report. One
// where places were wanted in vain may want any number.
func (u Usage) places() float64 {
	if u.Pressed {
		return math.Inf(1)
	}
	return float64(u.Peak)
}

func demands(usage []Usage, of func(Usage) float64) []float64 {
	out := make([]float64, len(usage))
	for i, u := range usage {
		out[i] = of(u)
	}
	sort.Float64s(out)
	return out
}

// portion is this router's part of a limit: its plain part (limit / routers) by
// right, and beyond it what the others, by their reports, leave unused, level
// by level (max-min). Routers that didn't report are taken to use their plain
// part. Going beyond is bounded by growth over what was wanted here last, so
// that routers which wake together don't each take all that is left.
func portion(limit float64, routers, unknown int, own float64, others []float64) float64 {
	plain := limit / float64(routers)
	left := limit - float64(unknown)*plain
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
	return min(max(level, plain), max(plain, growth*own))
}

// whole turns a part into places. The fraction becomes one place at as many
// routers as makes the sum right on average, always the same ones. Where that
// leaves none, one may be used while the reports leave one free.
func (l *Limiter) whole(part float64, limits OrganisationLimits, routers, unknown int, usage []Usage) int {
	places := int(part)
	if part-float64(places) > l.draw(limits.Name) {
		places++
	}
	if places > 0 {
		return places
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

// draw is a number in [0,1) that differs between routers and between organisations.
func (l *Limiter) draw(org types.Organisation) float64 {
	return float64(xxhash.Sum64String(string(l.opts.Self)+"/"+string(org))>>11) / (1 << 53)
}
