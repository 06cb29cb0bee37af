package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	callersOfAVM = 4
	lanes        = 3 // troubles side by side
	calmAtTheEnd = 3 * time.Second
	shortestHold = 200 * time.Millisecond
	longestHold  = 1500 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// Result is what a run has shown.
type Result struct {
	Seed   uint64
	Calls  int
	Served int
	Broken []string
	Story  []string // troubles in their order
}

// String sums a run up.
func (r Result) String() string {
	return fmt.Sprintf("seed %d: %d calls, %d served, %d troubles, %d promises broken", r.Seed, r.Calls, r.Served, len(r.Story), len(r.Broken))
}

// Run plays one seed of troubles for the given time, with settings and logs in dir.
func Run(dir string, size Size, seed uint64, troubles []Trouble, length time.Duration) (Result, error) {
	site, err := NewSite(dir, size)
	if err != nil {
		return Result{}, err
	}
	defer site.Close()
	result := Result{Seed: seed}
	callers := NewCallers(site)
	ctx, stop := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	calling.Go(func() { callers.Run(ctx, callersOfAVM*size.VMs) })
	result.Story = trouble(site, seed, troubles, length)
	time.Sleep(calmAtTheEnd)
	after := time.Now()
	time.Sleep(time.Second)
	stop()
	calling.Wait()
	calls := callers.Calls()
	result.Calls = len(calls)
	result.Broken = Broken(calls, site.Cloud.Ledger.Runs())
	result.Broken = append(result.Broken, overBudget(calls, site.Cloud.Ledger.Runs())...)
	result.Broken = append(result.Broken, notRecovered(calls, after)...)
	for _, vm := range site.VMs {
		if n := vm.ownEnds.Load(); n > 0 {
			result.Broken = append(result.Broken, fmt.Sprintf("%s ended by itself %d times", vm.Name, n))
		}
	}
	for _, c := range calls {
		if c.Status == 200 && c.Whole {
			result.Served++
		}
	}
	return result, nil
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

// trouble plays troubles in some lanes side by side. Those of VMs share one
// lane: a process must not be signalled while another trouble replaces it.
func trouble(site *Site, seed uint64, troubles []Trouble, length time.Duration) []string {
	var mu sync.Mutex
	var story []string
	var vm, any sync.Mutex
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for lane := range lanes {
		rng := rand.New(rand.NewPCG(seed, uint64(lane)))
		wg.Go(func() {
			for time.Now().Before(end) {
				t := troubles[rng.IntN(len(troubles))]
				hold := shortestHold + time.Duration(rng.Int64N(int64(longestHold-shortestHold)))
				mu.Lock()
				story = append(story, fmt.Sprintf("lane %d: %s for %v", lane, t.Name, hold))
				mu.Unlock()
				turn := &any
				if len(t.Name) > 2 && (t.Name[:2] == "VM" || t.Name == "SIGHUP") {
					turn = &vm
				}
				turn.Lock()
				t.do(site, rng, hold)
				turn.Unlock()
				time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
			}
		})
	}
	wg.Wait()
	return story
}
