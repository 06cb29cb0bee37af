package routebench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pearyard/pearyard/retry"
	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/types"
)

// Phases of a run, in virtual time since its start.
const (
	warmUp   = 40 * time.Second  // start of the measurement without a fault
	faultAt  = 80 * time.Second  // start of the fault
	returnAt = 120 * time.Second // end of a fault that ends
	runFor   = 180 * time.Second // end of the run
)

// zones is the number of availability zones, over which routers and runners are
// spread evenly.
const zones = 4

// simOptions configure one run.
type simOptions struct {
	runners       int
	routers       int
	rate          float64 // requests per second and runner, without follow-ups
	policy        string
	tuning        route.Tuning
	events        bool // cache events reach the routers
	learn         bool // routers learn from their own requests
	noRetryBudget bool // retries without a budget
	directory     bool // use package directory instead of a policy
	ownLoadOnly   bool // with directory: routers do not exchange their load
	fault         fault
	reportEvery   time.Duration // time between two load reports of a runner
	subset        int           // candidates in a router's view; 0: all
	groups        int           // number of router groups with a common subset; 0: a separate subset for each router
	organisations int
	seed          uint64
	until         time.Duration // 0: runFor
}

// sim is the simulation of callers, routers and runners in virtual time.
type sim struct {
	opts     simOptions
	clock    clock
	rand     *rand.Rand
	workload *workload
	routers  []*router
	runners  []*runner
	byID     map[types.ProcessID]*runner
	result   *result
}

// run executes one simulation.
func run(opts simOptions) (*result, error) {
	s := &sim{opts: opts, byID: make(map[types.ProcessID]*runner), result: &result{}}
	s.rand = rand.New(rand.NewPCG(opts.seed, 1))
	s.workload = newWorkload(rand.New(rand.NewPCG(opts.seed, 2)), opts.organisations)
	for i := range opts.runners {
		s.addRunner(i)
	}
	for i := range opts.routers {
		if err := s.addRouter(i); err != nil {
			return nil, err
		}
	}
	s.clock.after(0, s.arrive)
	s.clock.every(opts.reportEvery, s.sendReports)
	s.clock.every(eventsInterval, s.sendCacheEvents)
	s.clock.every(time.Second, func() { s.result.sample(s) })
	if s.opts.directory && !s.opts.ownLoadOnly {
		s.clock.every(loadExchangeInterval, s.exchangeLoad)
	}
	opts.fault.schedule(s)
	s.clock.run(cmp.Or(opts.until, runFor))
	return s.result, nil
}

func (s *sim) addRunner(i int) {
	r := &runner{
		sim: s, index: i, alive: true, slowdown: 1, incarnation: 1, cache: newPrefixCache(),
		id:   types.ProcessID(fmt.Sprintf("runner-%03d", i)),
		zone: types.Zone(fmt.Sprintf("zone-%d", i%zones)),
	}
	s.runners = append(s.runners, r)
	s.byID[r.id] = r
}

func (s *sim) addRouter(i int) error {
	r := &router{
		sim: s, zone: types.Zone(fmt.Sprintf("zone-%d", i%zones)),
		name:     types.ProcessID(fmt.Sprintf("router-%d", i%cmp.Or(s.opts.groups, s.opts.routers))),
		circuits: make(map[types.ProcessID]*retry.Circuit),
	}
	policy, err := route.NewPolicy(s.opts.policy, route.Options{Tuning: s.opts.tuning, Now: s.clock.time, Rand: s.rand.Uint64})
	if err != nil {
		return err
	}
	r.policy = policy
	if s.opts.directory {
		r.directoryPolicy = newDirectoryPolicy(r.zone, s.clock.time)
		r.policy = r.directoryPolicy
	}
	r.budget = retry.NewBudget(retry.BudgetOptions{Now: s.clock.time})
	r.rebuild()
	s.routers = append(s.routers, r)
	return nil
}

// arrive sends a new request to a random router and schedules the next one, as a
// Poisson process.
func (s *sim) arrive() {
	q := s.workload.newRequest()
	q.arrivedAt = s.clock.now
	s.result.arrived++
	s.randomRouter().receive(q)
	rate := s.opts.rate * float64(s.opts.runners)
	s.clock.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), s.arrive)
}

// followUp schedules a request that continues an answered one, for followUpShare
// of the answers.
func (s *sim) followUp(done *request) {
	if s.rand.Float64() >= followUpShare {
		return
	}
	q := s.workload.followUp(done)
	s.clock.after(time.Duration(s.rand.ExpFloat64()*float64(followUpDelay)), func() {
		q.arrivedAt = s.clock.now
		s.result.arrived++
		s.randomRouter().receive(q)
	})
}

func (s *sim) randomRouter() *router { return s.routers[s.rand.IntN(len(s.routers))] }

// sendReports sends the load of each runner to all routers.
func (s *sim) sendReports() {
	for _, r := range s.runners {
		if !r.alive {
			continue
		}
		id, incarnation := r.id, r.incarnation
		load := types.Load{Running: len(r.batch), Queued: len(r.queue), Capacity: batchSize, StepMicros: int(r.lastStep.Microseconds()), At: s.clock.time()}
		s.clock.after(reportDelay, func() {
			for _, router := range s.routers {
				router.report(id, incarnation, load)
			}
		})
	}
}

// sendCacheEvents sends each runner's cache events since the last call to all
// routers, except for the batches that are lost.
func (s *sim) sendCacheEvents() {
	for _, r := range s.runners {
		events := r.events
		r.events = nil
		if !s.opts.events || len(events) == 0 || s.rand.Float64() < eventLossRate {
			continue
		}
		id, incarnation := r.id, r.incarnation
		s.clock.after(eventsDelay, func() {
			for _, router := range s.routers {
				router.cacheEvents(id, incarnation, events)
			}
		})
	}
}

// membershipChanged rebuilds the views of the routers after the delay of
// membership.
func (s *sim) membershipChanged() {
	s.clock.after(viewDelay, func() {
		for _, r := range s.routers {
			r.rebuild()
		}
	})
}
