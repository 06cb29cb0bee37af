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
	callersOfAVM = 4
	lanes        = 3 // troubles side by side
	calmAtTheEnd = 3 * time.Second
	shortestHold = 200 * time.Millisecond
	longestHold  = 1500 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Plan is what a run plays.
type Plan struct {
	Size     Size
	Seed     uint64
	Troubles []Trouble
	Length   time.Duration // for which troubles go on
	Lanes    int           // troubles side by side; 0: the usual number
}

// Result is what a run has shown.
type Result struct {
	Seed   uint64
	Calls  int
	Served int
	Judged int // calls for which nothing excused the lack of an answer
	Broken []string
	Story  []Span // troubles in their order
	began  time.Time
}

// String sums a run up.
func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d calls, %d served, %d judged beside planned work, %d troubles, %d promises broken",
		r.Seed, r.Calls, r.Served, r.Judged, len(r.Story), len(r.Broken))
}

// Told returns the troubles, a line each.
func (r Result) Told() string {
	var lines []string
	for _, s := range r.Story {
		lines = append(lines, s.since(r.began))
	}
	return strings.Join(lines, "\n")
}

// Span is one trouble that was played.
type Span struct {
	Lane     int
	Name     string
	Kind     Kind
	From, To time.Time
}

func (s Span) since(began time.Time) string {
	return fmt.Sprintf("lane %d: %s from %.2f s to %.2f s", s.Lane, s.Name, s.From.Sub(began).Seconds(), s.To.Sub(began).Seconds())
}

// Run plays one seed of troubles, with settings and logs in dir.
func Run(dir string, plan Plan) (Result, error) {
	site, err := NewSite(dir, plan.Size)
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	result := Result{Seed: plan.Seed, began: time.Now()}
	callers := NewCallers(site)
	site.callers = callers
	ctx, stop := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	calling.Go(func() { callers.Run(ctx) })
	site.bound(plan.Size.Engine)
	result.Story = trouble(site, plan)
	site.bound(nursery.EngineLimits{})
	time.Sleep(calmAtTheEnd)
	after := time.Now()
	time.Sleep(time.Second)
	stop()
	calling.Wait()
	result.judge(site, callers.Calls(), after)
	return result, nil
}

// judge holds what was seen against the promises.
func (r *Result) judge(site *Site, calls []Call, after time.Time) {
	runs := site.Cloud.Ledger.Runs()
	r.Calls = len(calls)
	r.Broken = Broken(calls, runs)
	r.Broken = append(r.Broken, overBudget(calls, runs)...)
	r.Broken = append(r.Broken, notRecovered(calls, after)...)
	for _, vm := range site.VMs {
		if n := vm.ownEnds.Load(); n > 0 {
			r.Broken = append(r.Broken, fmt.Sprintf("%s ended by itself %d times", vm.Name, n))
		}
	}
	lost, judged := newLosses(site, r).among(calls)
	r.Judged = judged
	r.Broken = append(r.Broken, lost...)
	for _, c := range calls {
		if c.Status == 200 && c.Whole {
			r.Served++
		}
	}
}

// notRecovered tells of calls that fail although everything is well again.
func notRecovered(calls []Call, since time.Time) []string {
	sent, served := 0, 0
	for _, c := range calls {
		if c.Sent.Before(since) {
			continue
		}
		sent++
		if c.Status == 200 && c.Whole {
			served++
		}
	}
	if sent == 0 || served*10 < sent*9 {
		return []string{fmt.Sprintf("%d of %d calls served after the troubles", served, sent)}
	}
	return nil
}

// trouble plays troubles in some lanes side by side.
func trouble(site *Site, plan Plan) []Span {
	var mu sync.Mutex
	var story []Span
	var turns [ofNone]sync.Mutex
	end := time.Now().Add(plan.Length)
	var wg sync.WaitGroup
	for lane := range cmp.Or(plan.Lanes, lanes) {
		rng := rand.New(rand.NewPCG(plan.Seed, uint64(lane)))
		wg.Go(func() {
			for time.Now().Before(end) {
				t := plan.Troubles[rng.IntN(len(plan.Troubles))]
				hold := shortestHold + time.Duration(rng.Int64N(int64(longestHold-shortestHold)))
				if t.turn != ofNone {
					turns[t.turn].Lock()
				}
				from := time.Now()
				t.do(site, rng, hold)
				mu.Lock()
				story = append(story, Span{Lane: lane, Name: t.Name, Kind: t.Kind, From: from, To: time.Now()})
				mu.Unlock()
				if t.turn != ofNone {
					turns[t.turn].Unlock()
				}
				time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
			}
		})
	}
	wg.Wait()
	slices.SortFunc(story, func(a, b Span) int { return a.From.Compare(b.From) })
	return story
}
