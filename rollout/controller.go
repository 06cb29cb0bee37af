package rollout

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// confirmationTTL is how long a decider's word that a trial goes on is valid. It covers
// two lost datagrams. Without it a process that no decider reaches could send requests to
// a version that has been found bad.
const confirmationTTL = 1500 * time.Millisecond

// Options configures a Controller.
type Options struct {
	// AllowUnordered is set where operators replace servers by those of another version without
	// an order: any version may serve that no order is about.
	AllowUnordered bool
	Share          float64    // of a service's requests that a version on trial may get
	Tolerance      float64    // requests that it may get beyond the share
	Size           func() int // number of entry VMs, which share the tolerance
	Directory      *directory.Directory
	Recorder       *event.Recorder
	Metrics        prometheus.Registerer
}

// Controller knows the roll-outs of this process's services. It assigns requests to
// versions, within the limit, and collects what is observed of them.
type Controller struct {
	opts    Options
	metrics *metrics

	// states holds the newest roll-out of each service. Requests read it without a lock.
	states    atomic.Pointer[map[string]*state]
	baselines baselines

	mu         sync.Mutex // serialises changes of states
	configured bool       // a configuration has been applied
	changed    chan struct{}
}

// state is one roll-out in this process.
type state struct {
	order      site.RolloutOrder    // as first read
	readAt     types.AtomicPosition // see position
	superseded []site.RolloutOrder  // former orders of the service, oldest first
	restarted  bool                 // this process started after the order
	carry      float64              // see Allowance

	phase       atomic.Uint32
	phaseSince  atomic.Int64 // Unix nanoseconds since when this process knows the phase
	confirmedAt atomic.Int64 // Unix nanoseconds of a decider's newest word
	requests    atomic.Int64 // for the service since the order
	sent        atomic.Int64 // of them to the new version

	mu       sync.Mutex // guards the fields below
	pending  map[*Pending]struct{}
	evidence Evidence
	peers    map[reporter]*Report // newest report of each start of each peer
}

// reporter is one start of a peer. The counts of an earlier start are kept: a peer that
// restarts counts from zero.
type reporter struct {
	peer        string
	incarnation uint64
}

// New returns a Controller without roll-outs.
func New(opts Options) *Controller {
	c := &Controller{opts: opts, metrics: newMetrics(opts.Metrics), changed: make(chan struct{}, 1)}
	c.states.Store(&map[string]*state{})
	opts.Directory.OnApplied(c.observe)
	c.observe(opts.Directory.View())
	return c
}

// Changed returns a channel that holds a token after a phase has changed here.
func (c *Controller) Changed() <-chan struct{} { return c.changed }

func (c *Controller) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// ApplyConfig takes over the orders of a configuration that has come into force.
//
// An order that a configuration of a later era lacks is missing from the copy that the store
// has come back from: its roll-out stays.
func (c *Controller) ApplyConfig(v *site.Versioned) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := *c.states.Load()
	next := make(map[string]*state, len(v.Config.Rollouts))
	for service, known := range old {
		if known.position().Era() < v.Position.Era() {
			next[service] = known
		}
	}
	for service, order := range v.Config.Rollouts {
		known := old[service]
		switch {
		case known == nil:
			next[service] = c.begin(order, nil)
		case known.continues(order):
			known.readAt.Advance(order.Position)
			next[service] = known
		case known.isSuperseded(order):
			next[service] = known
		default:
			next[service] = c.begin(order, known.ordersBefore())
		}
	}
	c.configured = true
	c.states.Store(&next)
	c.notify()
}

func (c *Controller) begin(order site.RolloutOrder, superseded []site.RolloutOrder) *state {
	s := &state{order: order, superseded: superseded, restarted: !c.configured, carry: rand.Float64(), pending: map[*Pending]struct{}{}, evidence: Evidence{}, peers: map[reporter]*Report{}}
	s.readAt.Advance(order.Position)
	c.opts.Recorder.Emit(EventOrdered, "service", order.Service, "version", order.Version, "within", order.Duration, "position", order.Position,
		"restarted", s.restarted, "established", c.versions(order.Service, nil).Established, "listed", c.opts.Directory.View().Versions(order.Service))
	return s
}

// versions returns which versions of a service may run requests now.
func (c *Controller) versions(service string, s *state) Versions {
	baseline, _ := c.baselines.get(directory.Hash(service))
	v := Versions{Established: baseline.Versions, Listed: c.opts.Directory.View().StayingVersions(service)}
	if s != nil {
		v.Ordered, v.Phase = s.order.Version, s.current()
	}
	if s != nil && baseline.Order != 0 && baseline.Order == s.position() {
		v.Phase = Completed // as another process has told; the deciders tell of the phase later
	}
	return v
}

func (s *state) current() Phase { return Phase(s.phase.Load()) }

// isConfirmed reports whether a decider has confirmed the roll-out lately.
func (s *state) isConfirmed(now time.Time) bool {
	return now.UnixNano()-s.confirmedAt.Load() < int64(confirmationTTL)
}

// ramp returns Allowance.Ramp now.
func (s *state) ramp(now time.Time) float64 {
	return ramp(time.Duration(now.UnixNano()-s.phaseSince.Load()), s.order.Duration)
}

// SetPhase records a phase of the roll-out that an order began, as a decider or the store
// says. It returns the phase that is known afterwards.
func (c *Controller) SetPhase(service string, position types.Position, p Phase, from string, now time.Time) Phase {
	s := (*c.states.Load())[service]
	if s == nil || s.position() != position {
		return Unknown
	}
	s.confirmedAt.Store(now.UnixNano())
	for {
		old := s.current()
		next := old.next(p)
		if next == old {
			return old
		}
		if s.phase.CompareAndSwap(uint32(old), uint32(next)) {
			c.phaseChanged(s, old, from)
			return next
		}
	}
}

func (c *Controller) phaseChanged(s *state, old Phase, from string) {
	now := s.current()
	s.phaseSince.Store(time.Now().UnixNano())
	if now == Completed {
		c.MergeBaseline(Baseline{Service: directory.Hash(s.order.Service), Versions: []string{s.order.Version}, Order: s.position()}, "completion")
		c.opts.Directory.RetireOtherVersions(s.order.Service, s.order.Version)
	}
	total := s.total().total()
	c.opts.Recorder.Emit(EventPhase, "service", s.order.Service, "version", s.order.Version, "phase", now, "was", old, "from", from, "position", s.position(),
		"requests", s.requests.Load(), "sent", s.sent.Load(),
		"ended", total.New.Ended, "failed", total.New.Failed, "established_ended", total.Established.Ended, "established_failed", total.Established.Failed)
	c.notify()
}

// Order is a roll-out with its phase here.
type Order struct {
	site.RolloutOrder
	Phase Phase
}

// Orders returns the newest roll-out of each service.
func (c *Controller) Orders() []Order {
	var list []Order
	for _, s := range *c.states.Load() {
		order := Order{RolloutOrder: s.order, Phase: s.current()}
		order.Position = s.position()
		list = append(list, order)
	}
	return list
}

// InProgress reports whether there is a roll-out without an outcome.
func (c *Controller) InProgress() bool {
	for _, s := range *c.states.Load() {
		if !s.current().Final() {
			return true
		}
	}
	return false
}

// Evidence returns what this process and its peers have observed of a roll-out.
func (c *Controller) Evidence(service string) Evidence {
	if s := (*c.states.Load())[service]; s != nil {
		return s.total()
	}
	return Evidence{}
}

func (s *state) total() Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.ownLocked(time.Now())
	for _, r := range s.peers {
		sum.Merge(r.Evidence)
	}
	return sum
}
