// The program stale plays a full service of which some runners send a part of their answers a
// second time, late. See review/1.
package main

import (
	"context"
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
	entries    = 4
	runners    = 2
	slots      = 3
	events     = 4
	eventGap   = 11 * time.Millisecond
	playTime   = 100 * time.Second
	clump      = 8 // streams that come at once, where the runners run six
	clumpGap   = 170 * time.Millisecond
	extraShare = 0.03 // of a faulty runner's refusals are sent twice
	deadline   = 8 * time.Second
)

type play struct {
	site  *lab.Site
	extra atomic.Int64

	mu       sync.Mutex
	runs     map[string][]string // by attempt: runners that ran it
	answered map[string]int      // by attempt: status that the client got
}

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, caseDir string) int {
	site, err := lab.New(root, caseDir)
	if err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	defer site.Close()
	p := &play{site: site, runs: map[string][]string{}, answered: map[string]int{}}
	// Without streamResume: a stream must run once at most.
	site.Configure(1, []string{lab.Route("label-stream", "/labels/", "streaming", "printers", `"maxAttempts":1,"timeoutMs":8000,"targetLatencyMs":2000,"targetGapMs":700,"priority":1`)},
		[]string{lab.Service("printers", "")})
	zones := []string{"hall-a", "hall-b"}
	for i := range runners {
		faulty := lab.Trouble() && i < runners/2
		r := &lab.Runner{Site: site, ID: fmt.Sprintf("i-%d", i+1), Service: "printers", Zone: zones[i%2], Version: "v1", Slots: slots}
		r.Serve = func(ctx context.Context, r *lab.Runner, c *lab.Conn, req *http.Request, _ []byte) bool {
			return p.serve(ctx, r, c, req, faulty)
		}
		if err := r.Start(); err != nil {
			fmt.Println(err)
			return lab.NotRun
		}
	}
	if err := site.StartEntries(entries, zones, ""); err != nil {
		fmt.Println(err)
		return lab.NotRun
	}
	p.send()
	return p.judge()
}

// serve runs a stream if a slot is free. A faulty runner sends a part of its answers a second
// time, where the next answer on the connection is expected.
func (p *play) serve(ctx context.Context, r *lab.Runner, c *lab.Conn, req *http.Request, faulty bool) bool {
	id := req.Header.Get("Attempt-Id")
	if !r.Take() {
		answer := lab.Encode(503, http.Header{"Attempt-Id": {id}, "Not-Executed": {"full"}}, []byte("full\n"))
		p.site.Note("runner  %s is full, has not run %s", r.ID, id)
		if faulty && rand.Float64() < extraShare {
			c.Extra = answer
			p.extra.Add(1)
			p.site.Note("runner  %s will send this answer to %s once more, late", r.ID, id)
		}
		_, err := c.Write(answer)
		return err == nil
	}
	defer r.Leave()
	p.mu.Lock()
	p.runs[id] = append(p.runs[id], r.ID)
	p.mu.Unlock()
	p.site.Note("runner  %s runs %s", r.ID, id)
	if _, err := c.Write(lab.Head(200, http.Header{"Attempt-Id": {id}, "Response-Signature": {r.ID + "." + id}, "Content-Type": {"text/event-stream"}})); err != nil {
		return false
	}
	for n := 1; n <= events; n++ {
		if !lab.Sleep(ctx, eventGap) {
			p.site.Note("runner  %s drops %s, its connection is closed", r.ID, id)
			return false
		}
		if _, err := c.Write(lab.Chunk(fmt.Sprintf("id: %d\ndata: label %d of %s\n\n", n, n, id))); err != nil {
			return false
		}
	}
	p.site.Note("runner  %s has run %s to its end", r.ID, id)
	_, err := c.Write(lab.Chunk(""))
	return err == nil
}

// send sends streams in clumps, to all entry processes.
func (p *play) send() {
	client := lab.NewClient()
	var calls sync.WaitGroup
	for end := time.Now().Add(playTime); time.Now().Before(end); {
		for range clump {
			id, entry := client.NextID("a"), p.site.Entries[rand.IntN(len(p.site.Entries))]
			calls.Go(func() {
				p.site.Note("client  sends %s to %s", id, entry.Name)
				o := client.Send(context.Background(), entry.Callers, id, "/labels/1", "print", deadline, nil)
				p.site.Note("client  %s gets %d, %d events, whole %v", id, o.Status, o.Events, o.Complete)
				p.mu.Lock()
				p.answered[id] = o.Status
				p.mu.Unlock()
			})
		}
		time.Sleep(clumpGap/2 + rand.N(clumpGap))
	}
	calls.Wait()
}

func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	twice, falsely, served, refused := 0, 0, 0, 0
	for id, by := range p.runs {
		if len(by) > 1 {
			twice++
			p.site.Say("TWICE: %s ran %d times, at %v; its client got %d", id, len(by), by, p.answered[id])
		}
	}
	for id, status := range p.answered {
		switch {
		case status == 200:
			served++
		case status == 503 || status == 429:
			refused++
			if len(p.runs[id]) > 0 {
				falsely++
				p.site.Say("REFUSED: %s was answered %d and has run at %v", id, status, p.runs[id])
			}
		}
	}
	p.site.Say("%d streams sent, %d served, %d refused; %d answers of runners were sent twice", len(p.answered), served, refused, p.extra.Load())
	p.site.Say("ran more than once: %d; refused as not run and had run: %d", twice, falsely)
	switch {
	case served == 0:
		return lab.NotRun
	case twice+falsely > 0:
		return lab.Broken
	default:
		return lab.Held
	}
}
