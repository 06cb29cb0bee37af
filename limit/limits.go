package limit

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/pearyard/pearyard/types"
)

// OrganisationLimits are what the operators' text grants one organisation over
// all routers together. 0 means no limit, for Queued no queue; Weight 0 is 1.
type OrganisationLimits struct {
	Name              types.Organisation
	Weight            float64 // share of the slots under pressure
	RequestsPerSecond float64
	Burst             int // requests at once before the rate holds; 0: one second's worth
	Concurrent        int
	Queued            int
	Priority          int // decides between organisations that are equally far from their share
}

// minBurst is the burst that each router allows at the least, up to that of the
// organisation. Cut finer, chance arrivals find single routers empty while
// others have tokens left, and much of the limit is lost.
const minBurst = 3

// table is one revision of all limits; it is never changed once stored.
type table struct {
	limits map[types.Organisation]OrganisationLimits
}

// Apply replaces the limits of all organisations. What an organisation has
// running, waiting and left of its burst is kept.
func (l *Limiter) Apply(limits []OrganisationLimits) {
	next := &table{limits: make(map[types.Organisation]OrganisationLimits, len(limits))}
	for _, o := range limits {
		if o.Weight <= 0 {
			o.Weight = 1
		}
		next.limits[o.Name] = o
	}
	l.table.Store(next)
	l.epoch.Add(1)
	l.opts.Recorder.Emit(eventApplied, "organisations", len(limits))
	l.Kick()
}

// unnamed holds all requests of organisations that the text doesn't name, so
// that names made up by callers cost no memory.
const unnamed types.Organisation = ""

// state is what this router keeps of one organisation, made at its first request.
type state struct {
	name     types.Organisation
	share    atomic.Pointer[share]
	rate     atomic.Pointer[rate.Limiter]
	inflight atomic.Int32
	waiting  atomic.Int32
	peak     atomic.Int32  // most inflight since the last report
	pressed  atomic.Bool   // since the last report, some had to wait for or were refused a place
	wanted   atomic.Uint64 // requests seen since the last report
	seenRate atomic.Uint64 // bits of the rate wanted in the last report
	promised atomic.Int64  // until when those sent away were told to stay away
	told     atomic.Int64  // when an event last told of this organisation
	line     *line         // guarded by Limiter.mu; made at the first wait
}

// share is this router's part of an organisation's limits, worked out once for
// each epoch (a revision or a round of reports).
type share struct {
	epoch      uint64
	weight     float64
	priority   int
	rate       float64 // 0: no limit
	concurrent int     // < 0: no limit
	queued     int
}

func (l *Limiter) state(org types.Organisation) *state {
	if known, ok := l.states.Load(org); ok {
		return known.(*state)
	}
	if _, named := l.table.Load().limits[org]; !named && org != unnamed {
		return l.state(unnamed)
	}
	made, _ := l.states.LoadOrStore(org, &state{name: org})
	return made.(*state)
}

// shareOf returns the state's share, worked out anew if the epoch changed.
func (l *Limiter) shareOf(st *state, now time.Time) *share {
	epoch := l.epoch.Load()
	if have := st.share.Load(); have != nil && have.epoch == epoch {
		return have
	}
	limits, named := l.table.Load().limits[st.name]
	if !named {
		limits = OrganisationLimits{Name: st.name, Weight: 1, Queued: l.opts.UnnamedQueued}
	}
	next := l.divide(st, limits, now)
	next.epoch = epoch
	l.setRate(st, limits, next, now)
	st.share.Store(next)
	return next
}

func (l *Limiter) setRate(st *state, limits OrganisationLimits, s *share, now time.Time) {
	if s.rate <= 0 {
		st.rate.Store(nil)
		return
	}
	full := float64(limits.Burst)
	if full <= 0 {
		full = limits.RequestsPerSecond
	}
	burst := max(min(minBurst, int(full)), int(full*s.rate/limits.RequestsPerSecond+0.5), 1)
	have := st.rate.Load()
	if have == nil {
		st.rate.CompareAndSwap(nil, rate.NewLimiter(rate.Limit(s.rate), burst))
		return
	}
	have.SetLimitAt(now, rate.Limit(s.rate))
	have.SetBurstAt(now, burst)
}
