package limitbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pearyard/pearyard/limit"
	"github.com/pearyard/pearyard/types"
)

// Pattern determines through which routers an organisation's requests arrive.
type Pattern string

// Values of Pattern, and the parameters of the accuracy simulation. rateLimit is in
// requests per second, rateBurst, concurrencyLimit and concurrencyQueued in requests.
const (
	PatternEven   Pattern = "even"   // a random router
	PatternSkewed Pattern = "skewed" // four of five requests through one router
	PatternMoving Pattern = "moving" // all through one router, which changes every ten seconds
	PatternWaking Pattern = "waking" // alternately one router and all routers, ten seconds each

	accuracyEnd      = 2 * time.Minute
	accuracyWarmup   = 5 * time.Second
	exchangeInterval = time.Second
	exchangeDelay    = 100 * time.Millisecond
	patternInterval  = 10 * time.Second
	// offeredLoad is the offered load as a multiple of the limit.
	offeredLoad       = 1.5
	rateLimit         = 200.0
	rateBurst         = 20
	concurrencyLimit  = 100
	concurrencyHold   = 2 * time.Second // mean time that a request holds its permit
	concurrencyQueued = 0
	organisation      = types.Organisation("client")
)

// AccuracyRun is the result of one run: how accurately the limits were enforced.
// Rates and concurrency are fractions of the limit.
type AccuracyRun struct {
	Routers        int     `json:"routers"`
	Pattern        Pattern `json:"pattern"`
	Borrow         bool    `json:"borrow"` // whether routers exchange reports and borrow from each other
	Seed           uint64  `json:"seed"`
	Rate           float64 `json:"rate_mean"`           // mean admitted rate
	RateMax1s      float64 `json:"rate_worst_second"`   // highest admitted rate over one second, less the burst
	RateMax10s     float64 `json:"rate_worst_ten"`      // highest admitted rate over ten seconds, less the burst
	Concurrency    float64 `json:"places_mean"`         // mean concurrency
	ConcurrencyMax float64 `json:"places_most"`         // highest concurrency
	PercentOver    float64 `json:"places_over_percent"` // percentage of time with a concurrency above the limit
}

// accuracySim simulates one organisation that sends through several routers.
type accuracySim struct {
	clock    *clock
	rng      *rand.Rand
	limiters []*limit.Limiter
	inbox    [][]limit.Report // reports received by each router, not yet processed
	pattern  Pattern
	admitted map[int]int // requests by second
	held     int         // running requests
	peak     int         // highest held at a sample
	heldSum  float64     // sum of held over all samples
	over     int         // samples with held above the limit
	samples  int
}

// Accuracy measures how accurately routers enforce an organisation's limits when
// it sends offeredLoad times the limit: first a rate limit, then a concurrency limit.
func Accuracy(routers int, pattern Pattern, borrow bool, seed uint64) AccuracyRun {
	run := AccuracyRun{Routers: routers, Pattern: pattern, Borrow: borrow, Seed: seed}
	s := newAccuracySim(routers, pattern, borrow, seed, limit.OrganisationLimits{
		Name: organisation, RequestsPerSecond: rateLimit, Burst: rateBurst,
	})
	s.send(rateLimit*offeredLoad, 0)
	s.clock.runUntil(accuracyEnd, func() {})
	run.Rate, run.RateMax1s, run.RateMax10s = s.rates()
	s = newAccuracySim(routers, pattern, borrow, seed, limit.OrganisationLimits{
		Name: organisation, Concurrent: concurrencyLimit, Queued: concurrencyQueued,
	})
	s.send(concurrencyLimit*offeredLoad/concurrencyHold.Seconds(), concurrencyHold)
	s.clock.every(10*time.Millisecond, s.sample)
	s.clock.runUntil(accuracyEnd, func() {})
	run.Concurrency = s.heldSum / float64(s.samples) / concurrencyLimit
	run.ConcurrencyMax = float64(s.peak) / concurrencyLimit
	run.PercentOver = 100 * float64(s.over) / float64(s.samples)
	return run
}

func newAccuracySim(routers int, pattern Pattern, borrow bool, seed uint64, limits limit.OrganisationLimits) *accuracySim {
	s := &accuracySim{clock: newClock(), rng: rand.New(rand.NewPCG(seed, 2)), pattern: pattern, admitted: map[int]int{}}
	for i := range routers {
		l := limit.New(limit.Options{
			Self: types.ProcessID(fmt.Sprint("router-", i)), Now: s.clock.Now, Routers: func() int { return routers },
		})
		l.Apply([]limit.OrganisationLimits{limits})
		s.limiters = append(s.limiters, l)
	}
	s.inbox = make([][]limit.Report, routers)
	if borrow {
		for i := range s.limiters {
			phase := time.Duration(s.rng.Float64() * float64(exchangeInterval))
			s.clock.after(phase, func() { s.clock.every(exchangeInterval, func() { s.exchange(i) }) })
		}
	}
	return s
}

// exchange processes the reports that a router received since its last exchange
// and sends its own report to the others. Reports are thus up to exchangeDelay plus
// exchangeInterval old when they take effect.
func (s *accuracySim) exchange(router int) {
	s.limiters[router].AddReports(s.inbox[router])
	s.inbox[router] = s.inbox[router][:0]
	report := s.limiters[router].Usage(0)
	s.clock.after(exchangeDelay, func() {
		for i := range s.limiters {
			if i != router {
				s.inbox[i] = append(s.inbox[i], report)
			}
		}
	})
}

// send starts a Poisson process of requests.
func (s *accuracySim) send(perSecond float64, hold time.Duration) {
	var next func()
	next = func() {
		s.arrive(hold)
		s.clock.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.clock.after(0, next)
}

// router returns the router of the next request, by the pattern.
func (s *accuracySim) router() *limit.Limiter {
	n := len(s.limiters)
	period := int(s.clock.now.Sub(s.clock.start) / patternInterval)
	switch {
	case s.pattern == PatternSkewed && s.rng.Float64() < 0.8:
		return s.limiters[0]
	case s.pattern == PatternMoving:
		return s.limiters[period%n]
	case s.pattern == PatternWaking && period%2 == 0:
		return s.limiters[0]
	default:
		return s.limiters[s.rng.IntN(n)]
	}
}

// arrive sends one request, which holds its permit for an exponentially distributed
// time with mean hold.
func (s *accuracySim) arrive(hold time.Duration) {
	ticket, refusal := s.router().Reserve(organisation, limit.Short, time.Time{})
	if refusal != nil {
		return
	}
	s.admitted[int(s.clock.now.Sub(s.clock.start)/time.Second)]++
	if hold == 0 {
		ticket.Release()
		return
	}
	s.held++
	s.clock.after(time.Duration(s.rng.ExpFloat64()*float64(hold)), func() {
		s.held--
		ticket.Release()
	})
}

// sample records the current concurrency.
func (s *accuracySim) sample() {
	if s.clock.now.Sub(s.clock.start) < accuracyWarmup {
		return
	}
	s.samples++
	s.heldSum += float64(s.held)
	s.peak = max(s.peak, s.held)
	if s.held > concurrencyLimit {
		s.over++
	}
}

// rates returns the mean admitted rate and the highest over one and ten seconds,
// as fractions of the limit. The allowed burst is subtracted from the latter two.
func (s *accuracySim) rates() (mean, second, ten float64) {
	first, end := int(accuracyWarmup/time.Second), int(accuracyEnd/time.Second)
	sum := 0
	window := 0
	for i := first; i < end; i++ {
		sum += s.admitted[i]
		window += s.admitted[i]
		if i-first >= 10 {
			window -= s.admitted[i-10]
		}
		second = max(second, (float64(s.admitted[i])-rateBurst)/rateLimit)
		if i-first >= 9 {
			ten = max(ten, (float64(window)-rateBurst)/rateLimit/10)
		}
	}
	return float64(sum) / float64(end-first) / rateLimit, second, ten
}
