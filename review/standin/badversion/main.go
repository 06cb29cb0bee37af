// The program badversion plays a roll-out to a version that fails a part of its answers from the
// middle of the roll-out on. See claim.txt of the case.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/review/standin/lab"
)

const (
	entries   = 2
	runners   = 4 // of each version
	slots     = 64
	workTime  = 8 * time.Millisecond
	perSecond = 300
	warmUp    = 4 * time.Second
	duration  = 60 * time.Second // of the roll-out
	badAfter  = 30 * time.Second // after the order
	badShare  = 0.12
	after     = 5 * time.Second // that is played after the deadline
	deadline  = 3 * time.Second

	// Bounds of the deployment.
	share     = 0.1
	tolerance = 50
	rollback  = 5 * time.Second
	badLimit  = 50
)

const service, oldVersion, newVersion = "fees", "v1", "v2"

type arrival struct {
	at  time.Time
	bad bool
}

type play struct {
	site    *lab.Site
	ordered atomic.Int64 // Unix nanoseconds of the order's acknowledgement; 0: none yet

	mu       sync.Mutex
	newRuns  []arrival   // requests that reached the new version
	arrivals []time.Time // requests that reached the service
	statuses map[int]int
	states   []string
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, caseDir string) int {
	site, err := lab.New(root, caseDir)
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	defer site.Close()
	p := &play{site: site, statuses: map[int]int{}}
	site.Configure(1, []string{lab.Route("fee-charge", "/fees/", "non_idempotent", service, `"maxAttempts":1,"timeoutMs":3000,"targetLatencyMs":300,"priority":1`)},
		[]string{lab.Service(service, "")})
	zones := []string{"hall-a", "hall-b"}
	old, err := p.start(oldVersion, zones)
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	if err := site.StartEntries(entries, zones, ", canaryShare: 0.1, canaryTolerance: 50, rollbackMs: 5000"); err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	sending.Go(func() { p.send(ctx) })
	time.Sleep(warmUp)
	if _, err := p.start(newVersion, zones); err != nil {
		cancel()
		fmt.Println(err)
		return lab.NotRun
	}
	site.Store.Put("op", "rollout/"+service, fmt.Appendf(nil, `{"service":%q,"to":%q,"durationS":%d}`, service, newVersion, int(duration.Seconds())))
	p.ordered.Store(time.Now().UnixNano())
	site.Say("operator orders %s for %s within %v", newVersion, service, duration)
	p.watch(old, duration+after)
	cancel()
	sending.Wait()
	return p.judge()
}

// start starts the runners of a version.
func (p *play) start(version string, zones []string) ([]*lab.Runner, error) {
	var list []*lab.Runner
	for i := range runners {
		r := &lab.Runner{Site: p.site, ID: fmt.Sprintf("i-%s-%d", version, i+1), Service: service, Zone: zones[i%2], Version: version, Slots: slots, Serve: p.serve}
		if err := r.Start(); err != nil {
			return nil, err
		}
		list = append(list, r)
	}
	return list, nil
}

// serve answers a call. The new version fails a part of them from some time after the order on.
func (p *play) serve(ctx context.Context, r *lab.Runner, c *lab.Conn, req *http.Request, _ []byte) bool {
	id, now := req.Header.Get("Attempt-Id"), time.Now()
	ordered := p.ordered.Load()
	bad := lab.Trouble() && r.Version == newVersion && ordered != 0 && now.UnixNano()-ordered > int64(badAfter) && rand.Float64() < badShare
	p.mu.Lock()
	p.arrivals = append(p.arrivals, now)
	p.mu.Unlock()
	if !lab.Sleep(ctx, workTime) {
		return false
	}
	h := http.Header{"Attempt-Id": {id}, "Response-Signature": {r.ID + "." + id}}
	if r.Version == newVersion {
		p.mu.Lock()
		p.newRuns = append(p.newRuns, arrival{now, bad})
		p.mu.Unlock()
		p.site.Note("runner  %s runs %s, bad %v", r.ID, id, bad)
	}
	if bad {
		return c.Answer(500, h, []byte("failed\n"))
	}
	return c.Answer(200, h, []byte("charged\n"))
}

// watch reads the state of the roll-out as the operator does. At "completed" the platform stops
// the old runners at once; at "reverted" the new ones would drain.
func (p *play) watch(old []*lab.Runner, d time.Duration) {
	last := ""
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var status struct{ State, To string }
		_ = json.Unmarshal(p.site.Store.Get("status", "rollout/"+service), &status)
		if status.State == last {
			continue
		}
		last = status.State
		since := time.Since(time.Unix(0, p.ordered.Load()))
		p.site.Say("operator reads that the roll-out to %s is %s, %.1f s after the order", status.To, status.State, since.Seconds())
		p.mu.Lock()
		p.states = append(p.states, last)
		p.mu.Unlock()
		if last == "completed" {
			for _, r := range old {
				r.Crash()
				p.site.Unlist(r.ID)
			}
		}
	}
}

// send sends calls evenly to both entry processes.
func (p *play) send(ctx context.Context) {
	client := lab.NewClient()
	var calls sync.WaitGroup
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		<-tick.C
		id, entry := client.NextID("f"), p.site.Entries[rand.IntN(len(p.site.Entries))]
		calls.Go(func() {
			o := client.Send(context.Background(), entry.Callers, id, "/fees/1", "charge", deadline, nil)
			p.mu.Lock()
			p.statuses[o.Status]++
			p.mu.Unlock()
			if o.Status != 200 {
				p.site.Note("client  %s gets %d", id, o.Status)
			}
		})
	}
	calls.Wait()
}

func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	ordered := time.Unix(0, p.ordered.Load())
	asked, got := 0, 0
	for _, at := range p.arrivals {
		if at.After(ordered) && at.Before(ordered.Add(duration)) {
			asked++
		}
	}
	var fiftieth time.Time
	badAnswers, late, lateBad := 0, 0, 0
	for _, a := range p.newRuns {
		if a.at.Before(ordered.Add(duration)) {
			got++
		}
		if !fiftieth.IsZero() && a.at.Sub(fiftieth) > rollback {
			late++
			if a.bad {
				lateBad++
			}
		}
		if a.bad {
			if badAnswers++; badAnswers == badLimit {
				fiftieth = a.at
			}
		}
	}
	p.site.Say("answers by status: %v", p.statuses)
	p.site.Say("from the order to its deadline %d requests reached the service, %d of them the new version; allowed %.0f", asked, got, share*float64(asked)+tolerance)
	if !fiftieth.IsZero() {
		p.site.Say("50th bad answer %.1f s after the order; %d requests reached the new version later than %v after it, %d of them failed", fiftieth.Sub(ordered).Seconds(), late, rollback, lateBad)
	}
	p.site.Say("bad answers: %d; states: %v", badAnswers, p.states)
	switch {
	case len(p.states) == 0 || p.statuses[200] == 0:
		return lab.NotRun
	case lab.Trouble() && (late > 0 || float64(got) > share*float64(asked)+tolerance):
		return lab.Broken
	default:
		return lab.Held
	}
}
