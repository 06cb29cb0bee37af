package exchange

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/retry"
)

// received is what a caller got of a stream.
type received struct {
	first, pause time.Duration
	took         time.Duration
	events       int
	err          error
}

// inTime reports whether the response is complete, its first event came within the
// objective and no pause was longer than the caller allows.
func (r received) inTime(req *Request, events int) bool {
	return r.err == nil && r.events == events && r.first <= req.Route.Objective && r.pause <= req.Route.MaxGap
}

// play sends streams at the given times, with ids that start with name, and returns
// what their callers got.
func (vm *modelVM) play(t *testing.T, name string, arrivals []time.Duration) []received {
	outcomes := make([]received, len(arrivals))
	var callers sync.WaitGroup
	for i, at := range arrivals {
		callers.Go(func() {
			time.Sleep(at)
			sink := &recordingSink{start: time.Now()}
			_, err := vm.Stream(t.Context(), modelRequest(fmt.Sprint(name, i)), sink)
			outcomes[i] = received{first: sink.first, pause: sink.longest, took: time.Since(sink.start), events: len(sink.ids), err: err}
		})
	}
	callers.Wait()
	return outcomes
}

// every returns count times at intervals of gap.
func every(gap time.Duration, count int) []time.Duration {
	var at []time.Duration
	for i := range count {
		at = append(at, time.Duration(i)*gap)
	}
	return at
}

// A burst of 48 long prompts comes to 24 idle servers within a second. Each server can
// read two of them before the second one's first event is late by a second. Guards
// against four on one server while another has none: two callers would wait for longer
// than their objective of 4.5 s.
func TestBurstOfLongPromptsIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		vm := newModelVM(engines, ids)
		for i, o := range vm.play(t, "s", every(20*time.Millisecond, 48)) {
			g.Expect(o.inTime(modelRequest(""), 130)).To(gomega.BeTrue(), "caller %d: %+v", i, o)
		}
		for id, e := range engines.engines {
			g.Expect(e.started).To(gomega.BeNumerically("<=", 3), id)
		}
	})
}

// A zone of six servers is lost every 6.5 s for 1.2 s while six streams a second
// arrive, as many as 24 servers can serve. Each loss hits a quarter of the running
// streams. Those with a copy resume within the pause that callers allow; those without
// an event start again within their objective. Only a stream whose first event came so
// shortly before the loss that its copy was not ready may be late.
func TestZoneLostEverySixSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		vm := newModelVM(engines, ids)
		const gap, down = 6500 * time.Millisecond, 1200 * time.Millisecond
		zones := []string{"a", "b", "c", "d"}
		go func() {
			for _, zone := range zones {
				time.Sleep(gap - down)
				engines.forZone(zone, (*modelEngine).crash)
				time.Sleep(down)
				engines.forZone(zone, (*modelEngine).revive)
				vm.readList(engines, ids)
			}
		}()
		arrivals := every(165*time.Millisecond, 180)
		for i, o := range vm.play(t, "s", arrivals) {
			g.Expect(o.err).NotTo(gomega.HaveOccurred(), "caller %d", i)
			if o.inTime(modelRequest(""), 130) {
				continue
			}
			firstAt := arrivals[i] + o.first
			unlucky := false
			for n := range zones {
				before := time.Duration(n)*gap + gap - down - firstAt
				unlucky = unlucky || (before >= 0 && before <= modelCopyDelay+modelCopyTime)
			}
			g.Expect(unlucky).To(gomega.BeTrue(), "caller %d, first event at %v: %+v", i, firstAt, o)
		}
	})
}

func (b *modelBackend) forZone(zone string, how func(*modelEngine)) {
	for id, e := range b.engines {
		if strings.HasPrefix(id, zone) {
			how(e)
		}
	}
}

// reportLoads reports one VM's load to another, as often as VMs do.
func reportLoads(ctx context.Context, from, to *modelVM) {
	for retry.Wait(ctx, 20*time.Millisecond) == nil {
		to.dir.SetPeerLoad("other", from.dir.OwnLoad())
	}
}

// Servers are few, and each new prompt delays the streams that run there: a stream of 6
// s takes 9. A VM is stopped just after six streams have started, and what has not
// ended after a grace period of 7.7 s is cut off. The other VM must keep its prompts
// away from their servers, so that they end in time.
func TestPromptsAvoidServersWithStreamsOfAStoppingVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ids := modelServers(13)
		engines := newModelBackend(ctx, ids, evenSpeed)
		engines.length = func(string) int { return 170 }
		stopping, serving := newModelVM(engines, ids), newModelVM(engines, ids)
		go reportLoads(ctx, stopping, serving)
		go reportLoads(ctx, serving, stopping)
		var others sync.WaitGroup
		others.Go(func() { serving.play(t, "other", every(200*time.Millisecond, 40)) })
		go func() {
			time.Sleep(1100 * time.Millisecond)
			stopping.dir.SetStopping()
		}()
		const grace = 7700 * time.Millisecond
		for i, o := range stopping.play(t, "draft", every(170*time.Millisecond, 6)) {
			g.Expect(o.err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Duration(i)*170*time.Millisecond+o.took).To(gomega.BeNumerically("<", 1100*time.Millisecond+grace), "stream %d", i)
		}
		others.Wait()
	})
}

// A stream runs in zone a with its copy in zone b. Zone b is lost, and the copy is
// replaced by Backend.Copy. Four seconds later zone a is lost while each remaining
// server reads a long prompt. Guards against an outdated copy: what it lacked had to be
// read behind these prompts, and the caller got nothing for over a second.
func TestReplacedCopyIsUpToDateWhenItIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := []string{"a0", "b1", "c2"}
		engines := newModelBackend(t.Context(), ids, evenSpeed)
		engines.length = func(string) int { return 180 }
		vm := newModelVM(engines, ids)
		vm.opts.Zone = "a"
		another := newModelVM(engines, []string{"c2"})
		var others sync.WaitGroup
		go func() {
			time.Sleep(2 * time.Second)
			engines.forZone("b", (*modelEngine).crash)
			vm.dir.View().Service("s")[1].MarkLost(time.Now()) // reported by another VM
			time.Sleep(3400 * time.Millisecond)
			others.Go(func() { another.play(t, "prompt", every(time.Millisecond, 2)) })
			time.Sleep(300 * time.Millisecond)
			engines.forZone("a", (*modelEngine).crash)
		}()
		for _, s := range vm.dir.View().Service("s") {
			// The stream starts in zone a and has its copy in zone b.
			defer s.BeginStream(map[string]int{"b1": 1000, "c2": 4000}[s.ID]).End()
		}
		outcome := vm.play(t, "draft", []time.Duration{0})[0]
		g.Expect(outcome.err).NotTo(gomega.HaveOccurred())
		g.Expect(outcome.events).To(gomega.Equal(180))
		g.Expect(outcome.pause).To(gomega.BeNumerically("<=", 700*time.Millisecond))
		others.Wait()
	})
}

// A third of the servers is slower by a factor of 1.6 and a third by 2.2, which no list
// says. Four long prompts a second arrive, a quarter of what these servers read. Each
// caller's first event must come within the objective and no pause may be longer than
// allowed: what a slow server has not read yet counts against it.
func TestServersOfUnevenSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ids := modelServers(24)
		engines := newModelBackend(t.Context(), ids, func(i int) float64 { return []float64{1, 1.6, 2.2}[i%3] })
		vm := newModelVM(engines, ids)
		for i, o := range vm.play(t, "s", every(250*time.Millisecond, 80)) {
			g.Expect(o.inTime(modelRequest(""), 130)).To(gomega.BeTrue(), "caller %d: %+v", i, o)
		}
		started := map[float64]int{}
		for _, e := range engines.engines {
			started[e.slowness] += e.started
		}
		g.Expect(started[2.2]).To(gomega.BeNumerically("<", started[1]))
	})
}
