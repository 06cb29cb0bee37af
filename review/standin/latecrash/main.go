// The program latecrash plays requests that crash each runner some seconds after it has begun to
// run them. See claim.txt of the case.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pearyard/pearyard/review/standin/lab"
)

const (
	entries   = 2
	runners   = 4
	slots     = 64
	eventGap  = 60 * time.Millisecond
	events    = 100                     // of a sound stream
	longest   = 350                     // of the one that crashes runners, which would take 21 s
	crashTime = 2500 * time.Millisecond // from the start of a run until its runner crashes
	downTime  = 2 * time.Second
	gone      = 3600 * time.Millisecond // three heartbeats: the entry of a crashed runner expires
	copies    = 3                       // of it that come at a time
	deadline  = 25 * time.Second
	playTime  = 60 * time.Second

	// The rule.
	contact = 3 * time.Second
	allowed = 3
)

type play struct {
	site *lab.Site

	mu       sync.Mutex
	next     int
	crashes  []time.Time
	arrivals []time.Time // of the request that crashes runners, at runners
	others   int         // other streams that were served whole
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, caseDir string) int {
	site, err := lab.New(root, caseDir)
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	defer site.Close()
	p := &play{site: site}
	site.Configure(1, []string{lab.Route("summary", "/summary/", "streaming", "models", `"streamResume":true,"maxAttempts":5,"timeoutMs":25000,"targetLatencyMs":4500,"targetGapMs":700,"priority":1`)},
		[]string{lab.Service("models", "")})
	zones := []string{"hall-a", "hall-b"}
	for i := range runners {
		if err := p.start(zones[i%len(zones)], ""); err != nil {
			fmt.Println(err)
			return lab.NotRun
		}
	}
	if err := site.StartEntries(entries, zones, ""); err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	client := lab.NewClient()
	var callers sync.WaitGroup
	end := time.Now().Add(playTime)
	for n := range 3 { // other callers, with texts of their own
		callers.Go(func() {
			for time.Now().Before(end.Add(-8 * time.Second)) {
				p.call(client, fmt.Sprintf("a sound text %d %d", n, rand.Int()))
			}
		})
	}
	time.Sleep(2 * time.Second)
	for range copies {
		callers.Go(func() {
			for try := 0; try < 40 && time.Now().Before(end.Add(-10*time.Second)); try++ {
				if p.call(client, "the text that crashes runners") {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return p.judge()
}

// start starts a runner with a new id.
func (p *play) start(zone, listen string) error {
	p.mu.Lock()
	p.next++
	id := fmt.Sprintf("i-%d", p.next)
	p.mu.Unlock()
	r := &lab.Runner{Site: p.site, ID: id, Service: "models", Zone: zone, Version: "v1", Slots: slots, Listen: listen, Serve: p.serve}
	return r.Start()
}

func (p *play) serve(ctx context.Context, r *lab.Runner, c *lab.Conn, req *http.Request, body []byte) bool {
	id, poison := req.Header.Get("Attempt-Id"), string(body) == "the text that crashes runners"
	after := 0
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &after)
	began := time.Now()
	if poison {
		p.mu.Lock()
		p.arrivals = append(p.arrivals, began)
		p.mu.Unlock()
	}
	p.site.Note("runner  %s runs %s after event %d", r.ID, id, after)
	if _, err := c.Write(lab.Head(200, http.Header{"Attempt-Id": {id}, "Response-Signature": {r.ID + "." + id}, "Content-Type": {"text/event-stream"}})); err != nil {
		return false
	}
	last := events
	if poison {
		last = longest
	}
	for n := after + 1; n <= last; n++ {
		if !lab.Sleep(ctx, eventGap) {
			return false
		}
		if poison && lab.Trouble() && time.Since(began) > crashTime {
			p.crash(r, id)
			return false
		}
		if _, err := c.Write(lab.Chunk(fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n))); err != nil {
			return false
		}
	}
	_, err := c.Write(lab.Chunk(""))
	return err == nil
}

// crash ends a runner. It starts again at its address with a new id, and its old entry expires.
func (p *play) crash(r *lab.Runner, id string) {
	if r.Down() {
		return
	}
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	n := len(p.crashes)
	p.mu.Unlock()
	p.site.Note("runner  %s crashes under %s, crash %d", r.ID, id, n)
	r.Crash()
	time.AfterFunc(downTime, func() { _ = p.start(r.Zone, r.Listen) })
	time.AfterFunc(gone, func() { p.site.Unlist(r.ID) })
}

// call sends one request and reports whether it was served whole.
func (p *play) call(client *lab.Client, text string) bool {
	id, entry := client.NextID("s"), p.site.Entries[rand.IntN(len(p.site.Entries))]
	p.site.Note("client  sends %s (%s) to %s", id, text, entry.Name)
	o := client.Send(context.Background(), entry.Callers, id, "/summary/1", text, deadline, nil)
	p.site.Note("client  %s gets %d, %d events, whole %v", id, o.Status, o.Events, o.Complete)
	whole := o.Status == 200 && o.Complete && o.Events >= events
	if whole {
		p.mu.Lock()
		p.others++
		p.mu.Unlock()
	}
	return whole
}

func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if len(p.crashes) >= allowed {
		third := p.crashes[allowed-1]
		for _, at := range p.arrivals {
			if at.Sub(third) > contact {
				late++
				p.site.Note("the request reaches a runner %.3f s after the third crash", at.Sub(third).Seconds())
			}
		}
	}
	p.site.Say("the request reached runners %d times and crashed %d; later than %v after the third crash it reached %d; allowed %d", len(p.arrivals), len(p.crashes), contact, late, allowed)
	p.site.Say("streams served whole: %d", p.others)
	switch {
	case p.others == 0 || len(p.arrivals) == 0:
		return lab.NotRun
	case late > allowed:
		return lab.Broken
	default:
		return lab.Held
	}
}
