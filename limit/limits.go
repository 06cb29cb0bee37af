package limit

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/pearyard/pearyard/types"
)

// OrganisationLimits holds the configured limits of an organisation over all routers
// together.
type OrganisationLimits struct {
	Name              types.Organisation
	Weight            float64 // relative share of the slots while requests wait for them; 0: 1
	RequestsPerSecond float64 // 0: no limit
	Burst             int     // token bucket size of the rate limit; 0: one second's worth
	Concurrent        int     // requests that may run at once; 0: no limit
	Queued            int     // requests that may wait; 0: no queue
	Priority          int     // breaks ties between organisations that use equally much of their share
}

// minBurst is the smallest token bucket of an organisation at one router, in
// requests, unless the organisation's whole burst is smaller. With smaller buckets,
// random arrivals find some routers' buckets empty while others have tokens left,
// and much of the limit stays unused.
const minBurst = 3

// limitSet holds the limits of all organisations in one configuration revision. It
// is immutable.
type limitSet struct {
	byName map[types.Organisation]OrganisationLimits
}

// Apply replaces the limits of all organisations. Running and waiting requests and
// the remaining burst of each organisation are kept.
func (l *Limiter) Apply(limits []OrganisationLimits) {
	next := &limitSet{byName: make(map[types.Organisation]OrganisationLimits, len(limits))}
	for _, o := range limits {
		if o.Weight <= 0 {
			o.Weight = 1
		}
		next.byName[o.Name] = o
	}
	l.limits.Store(next)
	l.epoch.Add(1)
	l.opts.Recorder.Emit(eventApplied, "organisations", len(limits))
	l.Refresh()
}

// unconfigured is the name under which all organisations without configured
// limits share one state, so that invented names in requests cost no memory.
const unconfigured types.Organisation = ""

// state is this router's state of an organisation, created by its first request.
type state struct {
	name         types.Organisation
	share        atomic.Pointer[share]
	rate         atomic.Pointer[rate.Limiter] // token bucket; nil: no rate limit
	inflight     atomic.Int32                 // running requests, each with a slot and a permit
	waiting      atomic.Int32                 // requests that wait for a slot or a permit
	peak         atomic.Int32                 // highest inflight since the last usage report
	lackedPermit atomic.Bool                  // a request lacked a permit since the last usage report
	requests     atomic.Uint64                // requests since the last usage report, refused ones included
	demandRate   atomic.Uint64                // float64 bits of the request rate in the last usage report
	lastRetryAt  atomic.Int64                 // latest time that a refused caller was told to retry at, Unix nanoseconds
	lastEvent    atomic.Int64                 // when the last event about this organisation was emitted, Unix nanoseconds
	queue        *orgQueue                    // guarded by Limiter.mu; created by the first wait
}

// share is this router's part of an organisation's limits. It is computed once
// per epoch, which ends with each configuration revision or exchange of reports.
type share struct {
	epoch      uint64
	weight     float64
	priority   int
	rate       float64 // requests per second; 0: no limit
	concurrent int     // permits; < 0: no limit
	queued     int     // requests that may wait
}

// state returns the state of an organisation and creates it if necessary.
func (l *Limiter) state(org types.Organisation) *state {
	if st, ok := l.states.Load(org); ok {
		return st.(*state)
	}
	if _, configured := l.limits.Load().byName[org]; !configured && org != unconfigured {
		return l.state(unconfigured)
	}
	st, _ := l.states.LoadOrStore(org, &state{name: org})
	return st.(*state)
}

// shareOf returns the organisation's share, recomputed if the epoch changed.
func (l *Limiter) shareOf(st *state, now time.Time) *share {
	epoch := l.epoch.Load()
	if current := st.share.Load(); current != nil && current.epoch == epoch {
		return current
	}
	limits, configured := l.limits.Load().byName[st.name]
	if !configured {
		limits = OrganisationLimits{Name: st.name, Weight: 1, Queued: l.opts.DefaultQueued}
	}
	next := l.computeShare(st, limits, now)
	next.epoch = epoch
	l.setRate(st, limits, next, now)
	st.share.Store(next)
	return next
}

// setRate adjusts the organisation's token bucket to its share. The burst is divided
// between the routers like the rate, but not below minBurst.
func (l *Limiter) setRate(st *state, limits OrganisationLimits, s *share, now time.Time) {
	if s.rate <= 0 {
		st.rate.Store(nil)
		return
	}
	fullBurst := float64(limits.Burst)
	if fullBurst <= 0 {
		fullBurst = limits.RequestsPerSecond
	}
	burst := max(min(minBurst, int(fullBurst)), int(fullBurst*s.rate/limits.RequestsPerSecond+0.5), 1)
	limiter := st.rate.Load()
	if limiter == nil {
		st.rate.CompareAndSwap(nil, rate.NewLimiter(rate.Limit(s.rate), burst))
		return
	}
	limiter.SetLimitAt(now, rate.Limit(s.rate))
	limiter.SetBurstAt(now, burst)
}
