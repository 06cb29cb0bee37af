package route

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Names of policies.
const (
	RoundRobin     = "round_robin"
	LeastLoad      = "least_load"
	PowerOfTwo     = "power_of_two"
	PrefixAffinity = "prefix_affinity"
)

// DefaultPolicy is the policy that performed best in the measurements in
// docs/design/routing.md.
const DefaultPolicy = PrefixAffinity

// Names returns the names of all policies.
func Names() []string { return []string{RoundRobin, LeastLoad, PowerOfTwo, PrefixAffinity} }

// ErrUnknownPolicy is returned by NewPolicy for an unknown name.
var ErrUnknownPolicy = errors.New("unknown routing policy")

// Query describes a request to a policy, which does not retain it.
type Query struct {
	Blocks  []uint64          // prefix keys of the prompt (see Blocks), longest last
	Zone    types.Zone        // the router's zone
	Avoid   []types.ProcessID // candidates that must not get the request; a short list
	Suspect bool              // the request may have crashed an engine
	Long    bool              // expected to run for minutes, or a resume; never used as a probe
}

// Policy picks a candidate for one request. It is safe for concurrent use and
// takes no lock. It returns false if the view has no candidate outside q.Avoid.
type Policy interface {
	Pick(q *Query, v *View) (*Candidate, bool)
}

// Learner is a Policy that tracks the contents of prefix caches.
type Learner interface {
	// Learn records that c has prefilled a prompt with these keys.
	Learn(c *Candidate, blocks []uint64)
	// CacheEvents corrects the tracked contents by cache events of c's engine. The
	// events must use keys made by Blocks.
	CacheEvents(c *Candidate, events []engine.CacheEvent)
}

// Learn records with p that c has prefilled a prompt, if p is a Learner.
func Learn(p Policy, c *Candidate, blocks []uint64) {
	if l, ok := p.(Learner); ok {
		l.Learn(c, blocks)
	}
}

// CacheEvents passes cache events of c to p, if p is a Learner.
func CacheEvents(p Policy, c *Candidate, events []engine.CacheEvent) {
	if l, ok := p.(Learner); ok {
		l.CacheEvents(c, events)
	}
}

// Options configures a policy. Each service has its own policy.
type Options struct {
	Service    string                // label of the metrics
	Tuning     Tuning                // zero fields take their defaults
	Registerer prometheus.Registerer // nil: no metrics
	Recorder   *event.Recorder       // nil: no events
	Now        func() time.Time      // nil: time.Now
	Rand       func() uint64         // nil: math/rand/v2
}

// Tuning holds the parameters of the policies. docs/design/routing.md has the
// measurements behind the defaults.
type Tuning struct {
	// SlowStart is how long a started or resumed candidate takes to reach its full
	// share.
	SlowStart time.Duration `json:"slow_start,omitempty"`
	// SlowStartFloor is the initial share in a slow start.
	SlowStartFloor float64 `json:"slow_start_floor,omitempty"`
	// SlowFactor times the median step time is the step time above which a
	// candidate is slow.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ProbeEvery is the minimum time between two probes of one slow candidate.
	ProbeEvery time.Duration `json:"probe_every,omitempty"`
	// ReportTau is the age at which the weight of a load report has fallen to a
	// half.
	ReportTau time.Duration `json:"report_tau,omitempty"`
	// FailPenalty is how long after a failure a candidate gets fewer requests, if
	// load permits.
	FailPenalty time.Duration `json:"fail_penalty,omitempty"`
	// BoundFactor times the mean load is the maximum load that affinity may cause.
	BoundFactor float64 `json:"bound_factor,omitempty"`
	// BoundFloor is the part of its capacity up to which affinity may always load
	// a candidate.
	BoundFloor float64 `json:"bound_floor,omitempty"`
	// BoundCeiling is the part of its capacity beyond which BoundFactor does not
	// let affinity load a candidate.
	BoundCeiling float64 `json:"bound_ceiling,omitempty"`
	// PrefixCredit is the additional load, relative to its capacity, that a
	// candidate may have for each BlockBytes of the prompt that it holds.
	PrefixCredit float64 `json:"prefix_credit,omitempty"`
	// WaitWeight is the additional weight of a request that waits for its first
	// token.
	WaitWeight float64 `json:"wait_weight,omitempty"`
	// ZoneFirst makes prefix affinity prefer the router's own zone, as the other
	// policies always do.
	ZoneFirst bool `json:"zone_first,omitempty"`
	// PrefixEntries is the size of the prefix map, rounded up to a power of two;
	// an entry takes 16 bytes.
	PrefixEntries int `json:"prefix_entries,omitempty"`
	// PrefixTTL is how long an entry of the prefix map is valid without being
	// renewed.
	PrefixTTL time.Duration `json:"prefix_ttl,omitempty"`
	// EventLag is the maximum delay of a cache event; an eviction does not remove
	// what was learned within that time.
	EventLag time.Duration `json:"event_lag,omitempty"`
	// Renew is the time between two updates of the view's means.
	Renew time.Duration `json:"renew,omitempty"`
}

// DefaultTuning returns the defaults, which were derived from measurements.
func DefaultTuning() Tuning {
	return Tuning{
		SlowStart:      5 * time.Second,
		SlowStartFloor: 0.1,
		SlowFactor:     3,
		ProbeEvery:     5 * time.Second,
		ReportTau:      2 * time.Second,
		FailPenalty:    5 * time.Second,
		BoundFactor:    1.5,
		BoundFloor:     0.75,
		BoundCeiling:   0.9,
		PrefixCredit:   0.05,
		WaitWeight:     3,
		PrefixEntries:  1 << 16,
		PrefixTTL:      10 * time.Minute,
		EventLag:       5 * time.Second,
		Renew:          50 * time.Millisecond,
	}
}

func (t Tuning) withDefaults() Tuning {
	d := DefaultTuning()
	orDefault(&t.SlowStart, d.SlowStart)
	orDefault(&t.SlowStartFloor, d.SlowStartFloor)
	orDefault(&t.SlowFactor, d.SlowFactor)
	orDefault(&t.ProbeEvery, d.ProbeEvery)
	orDefault(&t.ReportTau, d.ReportTau)
	orDefault(&t.FailPenalty, d.FailPenalty)
	orDefault(&t.BoundFactor, d.BoundFactor)
	orDefault(&t.BoundFloor, d.BoundFloor)
	orDefault(&t.BoundCeiling, d.BoundCeiling)
	orDefault(&t.PrefixCredit, d.PrefixCredit)
	orDefault(&t.WaitWeight, d.WaitWeight)
	orDefault(&t.PrefixEntries, d.PrefixEntries)
	orDefault(&t.PrefixTTL, d.PrefixTTL)
	orDefault(&t.EventLag, d.EventLag)
	orDefault(&t.Renew, d.Renew)
	return t
}

func orDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// NewPolicy returns the policy of the given name.
func NewPolicy(name string, opts Options) (Policy, error) {
	b := newBase(opts)
	switch name {
	case RoundRobin:
		return &roundRobin{base: b}, nil
	case LeastLoad:
		return &leastLoad{base: b}, nil
	case PowerOfTwo:
		return &powerOfTwo{base: b}, nil
	case PrefixAffinity:
		return &affinity{base: b, prefixes: newPrefixMap(b.tuning.PrefixEntries)}, nil
	default:
		return nil, errors.Wrap(ErrUnknownPolicy, name)
	}
}

// base is the part common to all policies.
type base struct {
	tuning   Tuning
	metrics  *metrics
	recorder *event.Recorder
	now      func() time.Time
	rand     func() uint64
}

func newBase(opts Options) base {
	b := base{
		tuning:   opts.Tuning.withDefaults(),
		metrics:  newMetrics(opts.Registerer, opts.Service),
		recorder: opts.Recorder,
		now:      opts.Now,
		rand:     opts.Rand,
	}
	if b.recorder == nil {
		b.recorder = event.Discard()
	}
	if b.now == nil {
		b.now = time.Now
	}
	if b.rand == nil {
		b.rand = rand.Uint64
	}
	return b
}
