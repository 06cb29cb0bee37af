package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	callersPerVM          = 4               // on average: each request goes to a random VM
	defaultLanes          = 3               // disruptions at a time, unless the plan says otherwise
	settleTime            = 3 * time.Second // in which the site must recover from the last disruptions
	minDisruptionDuration = 200 * time.Millisecond
	maxDisruptionDuration = 1500 * time.Millisecond
	maxLanePause          = 400 * time.Millisecond // longest time between two disruptions of a lane
)

// Plan describes a run.
type Plan struct {
	Size        Size
	Seed        uint64
	Disruptions []Disruption
	Length      time.Duration // how long disruptions go on
	Lanes       int           // disruptions at a time; 0 means defaultLanes
}

// Result is the outcome of a run.
type Result struct {
	Seed        uint64
	Calls       int
	Served      int // calls with a complete response of status 200
	LossChecked int // calls that were sent completely and that no fault may have affected
	Violations  []string
	Crashes     int // of servers under poisoned requests
	Preemptions int // of streams, for want of memory
	FromCopy    int // runs that resumed from a copy
	Urgency     urgencyShares
	Returns     returnCounts
	Timeline    []Span // disruptions by their start
	start       time.Time
}

// String returns a one-line summary.
func (r Result) String() string {
	line := fmt.Sprintf("seed %d: %d calls, %d served, %d checked for loss, %d of %d callers that came back went on, %d disruptions, %d crashes under poisoned requests, %d runs from a copy, %d violations",
		r.Seed, r.Calls, r.Served, r.LossChecked, r.Returns.wentOn, r.Returns.returned, len(r.Timeline), r.Crashes, r.FromCopy, len(r.Violations))
	if r.Urgency != (urgencyShares{}) {
		line += fmt.Sprintf("; %d preempted; %v", r.Preemptions, r.Urgency)
	}
	return line
}

// FormatTimeline returns the disruptions, one per line.
func (r Result) FormatTimeline() string {
	var lines []string
	for _, s := range r.Timeline {
		lines = append(lines, s.format(r.start))
	}
	return strings.Join(lines, "\n")
}

// Span is one disruption of a run.
type Span struct {
	Lane     int
	Name     string
	Kind     Kind
	From, To time.Time
}

func (s Span) format(start time.Time) string {
	return fmt.Sprintf("lane %d: %s from %.2f s to %.2f s", s.Lane, s.Name, s.From.Sub(start).Seconds(), s.To.Sub(start).Seconds())
}

// Run starts a site with settings and logs in dir, runs the plan on it, and checks the outcome.
func Run(dir string, plan Plan) (Result, error) {
	site, err := NewSite(dir, plan.Size)
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	result := Result{Seed: plan.Seed, start: time.Now()}
	callers := NewCallers(site)
	site.callers = callers
	ctx, stop := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	calling.Go(func() { callers.Run(ctx) })
	site.limitEngines(plan.Size.Engine)
	site.limitPlainServers(plan.Size.Plain)
	result.Timeline = runDisruptions(site, plan)
	site.limitEngines(nursery.EngineLimits{})
	site.limitPlainServers(nursery.EngineLimits{})
	over := time.Now()
	time.Sleep(settleTime)
	settled := time.Now()
	time.Sleep(time.Second) // the calls of this second show whether the site has recovered
	stop()
	calling.Wait()
	result.check(site, callers.Calls(), settled)
	if plan.Size.Contended {
		result.Urgency = countByUrgency(callers.Calls(), over)
		result.Violations = append(result.Violations, result.Urgency.violations()...)
	}
	return result, nil
}

// check fills in the result. settled is the time by which the site must have recovered.
func (r *Result) check(site *Site, calls []Call, settled time.Time) {
	runs := site.Cloud.Ledger.Runs()
	r.Calls = len(calls)
	r.Crashes = len(site.Cloud.Ledger.Crashes())
	r.Violations = Violations(calls, runs)
	r.Violations = append(r.Violations, retryBudgetViolations(calls, runs)...)
	r.Violations = append(r.Violations, crashViolations(site.Cloud.Ledger.Crashes(), site.Cloud.Ledger.Arrivals(), r.Timeline)...)
	r.Violations = append(r.Violations, limitViolations(site.Cloud.Ledger.Arrivals(), r.Timeline)...)
	r.Violations = append(r.Violations, leavingViolations(calls, site.Cloud.Ledger.Arrivals(), r.Timeline)...)
	r.Violations = append(r.Violations, restViolations(calls, site.Cloud.Ledger.Rests(), site.Cloud.Ledger.Arrivals(), r.Timeline)...)
	r.Violations = append(r.Violations, site.copyViolations(site.Cloud.Ledger.Arrivals(), r.Timeline)...)
	r.FromCopy = countFromCopy(site.Cloud.Ledger.Works())
	r.Violations = append(r.Violations, overlapViolations(site.Cloud.Ledger.Works(), calls, site.disturbances())...)
	r.Returns = countReturns(calls)
	r.Violations = append(r.Violations, r.Returns.violations()...)
	r.Violations = append(r.Violations, recoveryViolations(calls, settled)...)
	r.Violations = append(r.Violations, refusalViolations(calls)...)
	r.Violations = append(r.Violations, site.queueViolations()...)
	r.Preemptions = site.Cloud.Ledger.Preemptions()
	for _, vm := range site.VMs {
		if n := vm.unexpectedExits.Load(); n > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%s exited unexpectedly %d times", vm.Name, n))
		}
	}
	lost, checked := newLossDetector(site, r).find(calls)
	r.LossChecked = checked
	r.Violations = append(r.Violations, lost...)
	for _, c := range calls {
		if c.Status == 200 && c.Complete {
			r.Served++
		}
	}
}

// recoveryViolations returns a violation if fewer than 90% of the calls sent from since on
// were served, or none was sent: the site has not recovered from the disruptions.
func recoveryViolations(calls []Call, since time.Time) []string {
	sent, served := 0, 0
	for _, c := range calls {
		if c.Sent.Before(since) || c.left() {
			continue
		}
		sent++
		if c.Status == 200 && c.Complete {
			served++
		}
	}
	if sent == 0 || served*10 < sent*9 {
		return []string{fmt.Sprintf("%d of %d calls served after the disruptions, at least 90%% expected", served, sent)}
	}
	return nil
}

// runDisruptions runs random disruptions of the plan, one at a time per lane, and returns
// them by their start. It starts none after the plan's length, but waits for those that run.
func runDisruptions(site *Site, plan Plan) []Span {
	var mu sync.Mutex
	var timeline []Span
	var groupLocks [noGroup]sync.Mutex
	end := time.Now().Add(plan.Length)
	var wg sync.WaitGroup
	for lane := range cmp.Or(plan.Lanes, defaultLanes) {
		rng := rand.New(rand.NewPCG(plan.Seed, uint64(lane)))
		wg.Go(func() {
			for time.Now().Before(end) {
				disruption := plan.Disruptions[rng.IntN(len(plan.Disruptions))]
				duration := minDisruptionDuration + time.Duration(rng.Int64N(int64(maxDisruptionDuration-minDisruptionDuration)))
				if disruption.group != noGroup {
					groupLocks[disruption.group].Lock()
				}
				from := time.Now()
				disruption.run(site, rng, duration)
				mu.Lock()
				timeline = append(timeline, Span{Lane: lane, Name: disruption.Name, Kind: disruption.Kind, From: from, To: time.Now()})
				mu.Unlock()
				if disruption.group != noGroup {
					groupLocks[disruption.group].Unlock()
				}
				time.Sleep(time.Duration(rng.Int64N(int64(maxLanePause))))
			}
		})
	}
	wg.Wait()
	slices.SortFunc(timeline, func(a, b Span) int { return a.From.Compare(b.From) })
	return timeline
}
