package limitbench

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/types"
)

// Mode determines how requests are presented to the limiter.
type Mode string

// Values of Mode, and the parameters of the fairness simulation.
const (
	ModeFair             Mode = "fair"       // as in production
	ModeFIFO             Mode = "fifo"       // all organisations under one name: first come, first served
	ModeNoClass          Mode = "no-classes" // all requests in one class
	ModeLong             Mode = "fair-long"  // like ModeFair, but the large organisation sends only long generations
	fairCapacity              = 72           // slots
	smallOrganisations        = 9
	fairEnd                   = 20 * time.Minute
	fairWarmup                = 3 * time.Minute
	queueTimeout              = 20 * time.Second
	queuePerOrganisation      = 64 // requests that may wait
	// quietLoad is the normal load of an organisation, as a fraction of its share.
	quietLoad = 0.6
)

// requestKind is a kind of request that callers send.
type requestKind struct {
	class    limit.Class
	fraction float64       // fraction of all requests
	meanHold time.Duration // mean time that it holds a slot
}

var kinds = []requestKind{
	{limit.Plain, 0.60, 20 * time.Millisecond},
	{limit.Short, 0.36, 2 * time.Second},
	{limit.Long, 0.04, 60 * time.Second},
}

// Latency is the latency of the small organisations' requests in one class.
type Latency struct {
	Class   string  `json:"class"`
	P50     float64 `json:"p50_ms"`
	P95     float64 `json:"p95_ms"`
	WaitP95 float64 `json:"wait_p95_ms"`
	Sent    int     `json:"sent"`
	Shed    int     `json:"shed"`
}

// FairRun is the result of one run: the latencies of the small organisations, and
// how many requests of the large one were shed.
type FairRun struct {
	Mode      Mode      `json:"mode"`
	Large     float64   `json:"large_times_share"` // load of the large organisation as a multiple of its share
	Seed      uint64    `json:"seed"`
	Small     []Latency `json:"small"`
	LargeSent int       `json:"large_sent"`
	LargeShed int       `json:"large_shed"`
	Used      float64   `json:"slots_used"` // mean fraction of the slots in use
}

// pending is a request that waits for its ticket. start is called when it is
// granted.
type pending struct {
	ticket *limit.Ticket
	start  func()
}

// fairSim simulates organisations that share the slots of one router.
type fairSim struct {
	clock   *clock
	rng     *rand.Rand
	limiter *limit.Limiter
	mode    Mode
	waiting []pending
	run     *FairRun
	total   map[limit.Class][]float64 // latencies of the small organisations, in ms
	waits   map[limit.Class][]float64 // their waits, in ms
	sent    map[limit.Class]int
	shed    map[limit.Class]int
	used    float64 // sum over all samples of the fraction of slots in use
	samples float64
	inUse   int // slots in use
}

// Fairness simulates nine small organisations under normal load beside a large one
// that sends large times its share of the slots.
func Fairness(mode Mode, large float64, seed uint64) FairRun {
	c := newClock()
	s := &fairSim{
		clock: c, rng: rand.New(rand.NewPCG(seed, 1)), mode: mode,
		run:   &FairRun{Mode: mode, Large: large, Seed: seed},
		total: map[limit.Class][]float64{}, waits: map[limit.Class][]float64{},
		sent: map[limit.Class]int{}, shed: map[limit.Class]int{},
	}
	s.limiter = limit.New(limit.Options{Capacity: func() int { return fairCapacity }, Now: c.Now})
	var limits []limit.OrganisationLimits
	for _, org := range append(smallNames(), "large", "everyone") {
		limits = append(limits, limit.OrganisationLimits{Name: org, Queued: queuePerOrganisation})
	}
	limits[len(limits)-1].Queued = queuePerOrganisation * (smallOrganisations + 1)
	s.limiter.Apply(limits)
	for _, org := range smallNames() {
		s.startArrivals(org, quietLoad)
	}
	s.startArrivals("large", large)
	c.every(100*time.Millisecond, s.sample)
	c.runUntil(fairEnd, s.startGranted)
	return s.result()
}

// smallNames returns the names of the small organisations.
func smallNames() []types.Organisation {
	names := make([]types.Organisation, smallOrganisations)
	for i := range names {
		names[i] = types.Organisation(rune('a' + i))
	}
	return names
}

// meanHold returns the mean time, in seconds, that a request holds a slot.
func meanHold() float64 {
	sum := 0.0
	for _, k := range kinds {
		sum += k.fraction * k.meanHold.Seconds()
	}
	return sum
}

// startArrivals starts a Poisson process of an organisation's requests, which need
// timesShare times the organisation's equal share of the slots.
func (s *fairSim) startArrivals(org types.Organisation, timesShare float64) {
	hold := meanHold()
	if s.longOnly(org) {
		hold = kinds[limit.Long].meanHold.Seconds()
	}
	share := float64(fairCapacity) / (smallOrganisations + 1) / hold
	gap := 1 / (share * timesShare)
	var next func()
	next = func() {
		s.arrive(org)
		s.clock.after(s.exponential(gap), next)
	}
	s.clock.after(s.exponential(gap), next)
}

// exponential returns an exponentially distributed duration; mean is in seconds.
func (s *fairSim) exponential(mean float64) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * mean * float64(time.Second))
}

// longOnly reports whether an organisation sends only long generations.
func (s *fairSim) longOnly(org types.Organisation) bool { return s.mode == ModeLong && org == "large" }

// randomKind returns a random kind of request for an organisation.
func (s *fairSim) randomKind(org types.Organisation) requestKind {
	if s.longOnly(org) {
		return kinds[limit.Long]
	}
	x := s.rng.Float64()
	for _, k := range kinds {
		if x < k.fraction {
			return k
		}
		x -= k.fraction
	}
	return kinds[0]
}

// arrive sends one request of an organisation. The caller gives up waiting after
// queueTimeout.
func (s *fairSim) arrive(org types.Organisation) {
	k := s.randomKind(org)
	hold := s.exponential(k.meanHold.Seconds())
	name, class := org, k.class
	if s.mode == ModeFIFO {
		name = "everyone"
	}
	if s.mode == ModeFIFO || s.mode == ModeNoClass {
		class = limit.Plain
	}
	at := s.clock.now
	counted := at.Sub(s.clock.start) > fairWarmup
	small := org != "large"
	count := func(shed bool) {
		switch {
		case !counted:
		case small && shed:
			s.shed[k.class]++
		case small:
			s.sent[k.class]++
		case shed:
			s.run.LargeShed++
		default:
			s.run.LargeSent++
		}
	}
	count(false)
	ticket, refusal := s.limiter.Reserve(name, class, at.Add(queueTimeout))
	if refusal != nil {
		count(true)
		return
	}
	started := false
	s.waiting = append(s.waiting, pending{ticket, func() {
		started = true
		if small && counted {
			wait := s.clock.now.Sub(at)
			s.waits[k.class] = append(s.waits[k.class], ms(wait))
			s.total[k.class] = append(s.total[k.class], ms(wait+hold))
		}
		s.inUse++
		s.clock.after(hold, func() {
			s.inUse--
			ticket.Release()
		})
	}})
	s.clock.after(queueTimeout, func() {
		if !started {
			ticket.Release()
			count(true)
		}
	})
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// startGranted starts the waiting requests whose tickets were granted.
func (s *fairSim) startGranted() {
	waiting := s.waiting[:0]
	for _, p := range s.waiting {
		select {
		case <-p.ticket.Ready():
			p.start()
		default:
			waiting = append(waiting, p)
		}
	}
	s.waiting = waiting
}

// sample refreshes the limiter, as Limiter.Run would, and records the slots in use.
func (s *fairSim) sample() {
	s.limiter.Refresh()
	s.used += float64(s.inUse) / fairCapacity
	s.samples++
}

func (s *fairSim) result() FairRun {
	for _, k := range kinds {
		s.run.Small = append(s.run.Small, Latency{
			Class: k.class.String(), Sent: s.sent[k.class], Shed: s.shed[k.class],
			P50: quantile(s.total[k.class], 0.5), P95: quantile(s.total[k.class], 0.95),
			WaitP95: quantile(s.waits[k.class], 0.95),
		})
	}
	s.run.Used = s.used / s.samples
	return *s.run
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sort.Float64s(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
