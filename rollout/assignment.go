package rollout

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
)

// Assignment says which servers may run one request. A nil Assignment allows all.
type Assignment struct {
	controller *Controller
	service    string
	state      *state // nil without an order
	trial      bool   // the request was chosen for the version on trial
	servers    map[directory.Start]bool
	reserved   atomic.Bool // one request to the version on trial is counted and not sent yet
}

// Assign counts a new request for a service and assigns it to versions. It returns nil if
// all servers may run it. mayTrial is false for a request that must not be chosen for the
// version on trial: the rest of a stream goes to the version that began it.
func (c *Controller) Assign(service, request string, mayTrial bool) *Assignment {
	if c == nil {
		return nil
	}
	s := (*c.states.Load())[service]
	if s == nil && len(c.opts.Directory.View().Versions(service)) < 2 {
		return nil
	}
	a := &Assignment{controller: c, service: service, state: s}
	if s == nil {
		return a
	}
	requests := s.requests.Add(1)
	phase := s.current()
	if !mayTrial || !slices.Contains(c.opts.Directory.View().Versions(service), s.order.Version) || !a.reserve(requests, time.Now()) {
		return a
	}
	a.trial = true
	a.reserved.Store(true)
	a.servers = c.trialServers(s, phase)
	c.opts.Recorder.Emit(EventChosen, event.FieldRequest, request, "service", service, "version", s.order.Version, "phase", phase,
		"requests", requests, "sent", s.sent.Load())
	return a
}

// reserve counts one request to the version on trial if the limit and the deciders allow
// it.
func (a *Assignment) reserve(requests int64, now time.Time) bool {
	s, opts := a.state, a.controller.opts
	if !s.isConfirmed(now) {
		return false
	}
	allowance := Allowance{Share: opts.Share, Tolerance: opts.Tolerance, Processes: opts.Size(), Restarted: s.restarted, Carry: s.carry, Ramp: s.ramp(now)}
	for {
		sent := s.sent.Load()
		if !allowance.Permits(s.current(), requests, sent) {
			return false
		}
		if s.sent.CompareAndSwap(sent, sent+1) {
			return true
		}
	}
}

// Admits returns the servers that may run the request's next attempt, nil for all.
func (a *Assignment) Admits() func(*directory.Server) bool {
	if a == nil {
		return nil
	}
	v := a.controller.versions(a.service, a.state)
	return func(s *directory.Server) bool { return v.Allows(s.Version(), false) }
}

// AdmitsTrial returns the servers of the version on trial that may run the request's first
// attempt, nil if it was not chosen for that version.
func (a *Assignment) AdmitsTrial() func(*directory.Server) bool {
	if a == nil || !a.trial || !a.reserved.Load() {
		return nil
	}
	v, now := a.controller.versions(a.service, a.state), time.Now()
	return func(s *directory.Server) bool {
		return v.Ordered == s.Version() && v.Allows(s.Version(), true) && (a.servers == nil || a.servers[s.Start]) && !s.IsDown(now)
	}
}

// MayResume reports whether an attempt may resume a stream at servers of a version, the one
// that began it. Without an order it always may: an entry VM allowed that version to begin it.
// At a version on trial this is one more request.
func (a *Assignment) MayResume(version string) bool {
	if a == nil || a.state == nil {
		return true
	}
	allowed := a.controller.versions(a.service, a.state)
	if allowed.Allows(version, false) {
		return true
	}
	if version != a.state.order.Version || !allowed.Allows(version, true) {
		return false
	}
	if a.reserved.Load() {
		return true
	}
	reserved := a.reserve(a.state.requests.Load(), time.Now())
	a.reserved.Store(reserved)
	return reserved
}

// ExcludesStreams reports whether the streams of a version, the one that began them, can't be
// resumed as long as the order stands: it is bad, is about to be stopped, or another order has
// overtaken its own.
func (a *Assignment) ExcludesStreams(version string) bool {
	if a == nil || a.state == nil {
		return false
	}
	v := a.controller.versions(a.service, a.state)
	return !v.Allows(version, false) && !v.Allows(version, true)
}

// Sent records that an attempt is sent to a server.
func (a *Assignment) Sent(s *directory.Server) {
	if a == nil || a.state == nil {
		return
	}
	reserved := a.reserved.Swap(false)
	isNew := s.Version() == a.state.order.Version
	switch {
	case isNew && !reserved:
		a.state.sent.Add(1) // the only version listed
	case !isNew && reserved:
		a.state.sent.Add(-1)
	}
	a.controller.metrics.countSent(isNew)
}

// Release gives back a reserved request that was not sent.
func (a *Assignment) Release() {
	if a != nil && a.state != nil && a.reserved.Swap(false) {
		a.state.sent.Add(-1)
	}
}

// Observation is one thing observed of an attempt.
type Observation struct {
	Ended  bool          // it ended with an answer, or by the fault of its server
	Failed bool          // it ended with an error status or a broken response
	First  time.Duration // to the answer or the first event; 0: not observed now
	Pace   time.Duration // for PaceEvents events; 0: not observed now
}

// Observe records an observation of an attempt at a server.
func (a *Assignment) Observe(route string, s *directory.Server, o Observation) {
	if a == nil || a.state == nil || a.state.current().Final() {
		return
	}
	st := a.state
	st.mu.Lock()
	defer st.mu.Unlock()
	st.evidence.sample(directory.Hash(route), s.Version() == st.order.Version).add(o)
}

// Pending is an attempt without an answer or a first event. A nil Pending is one that is
// not observed.
type Pending struct {
	state *state
	route uint32
	isNew bool
	since time.Time
}

// Started records that an attempt has been sent to a server. The caller must call Done.
func (a *Assignment) Started(route string, s *directory.Server) *Pending {
	if a == nil || a.state == nil || a.state.current().Final() {
		return nil
	}
	p := &Pending{state: a.state, route: directory.Hash(route), isNew: s.Version() == a.state.order.Version, since: time.Now()}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	p.state.pending[p] = struct{}{}
	return p
}

// Done records that the attempt has been answered or is over. It may be called again.
func (p *Pending) Done() {
	if p == nil {
		return
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	delete(p.state.pending, p)
}

func (s *Sample) add(o Observation) {
	if o.Ended {
		s.Ended++
	}
	if o.Failed {
		s.Failed++
	}
	if o.First > 0 {
		s.First.Add(o.First)
	}
	if o.Pace > 0 {
		s.Pace.Add(o.Pace)
	}
}
