package router_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/standin"
)

// holdTime is longer than the time after which a stalled generation is offered to
// another backend server.
const holdTime = 4500 * time.Millisecond

// generateResult is the result of a caller's request.
type generateResult struct {
	answer client.Answer
	err    error
}

// generate sends a request for tokens and reports the index of each token to seen.
func generate(t *testing.T, url string, tokens int, seen func(index int)) generateResult {
	caller := client.New(client.Options{Routers: []string{strings.TrimPrefix(url, "http://")}, Key: "key"})
	answer, err := caller.Generate(t.Context(), client.Request{Model: "pear", Prompt: "list the pears", MaxTokens: tokens},
		func(index int, _ string) { seen(index) })
	return generateResult{answer, err}
}

func (r generateResult) expectComplete(g Gomega, tokens int) {
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.answer.Resumes).To(BeZero())
	g.Expect(r.answer.Texts).To(HaveLen(tokens))
	g.Expect(standin.CheckAnswer("list the pears", r.answer.Texts)).To(Succeed())
}

// runningBackend returns the backend whose engine runs a request.
func (c *cluster) runningBackend() *backend {
	for _, b := range c.backends {
		if b.engine.Counters().Running > 0 {
			return b
		}
	}
	return nil
}

// The only engine of a model preempts a generation for some seconds but answers probes.
// The generation must continue there. It used to be given up and sent to the same
// engine again, which prefilled its prompt a second time.
func TestStalledGenerationContinuesOnOnlyEngine(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	b := newBackend(t, "a")
	got := generate(t, newReloadableRouter(t, string(configOf([]string{b.address}))).url, 200, func(index int) {
		if index == 100 {
			b.engine.Hold()
			time.AfterFunc(holdTime, b.engine.Release)
		}
	})
	got.expectComplete(g, 200)
	g.Expect(b.engine.Counters().Requests).To(BeEquivalentTo(1))
}

// An engine preempts a generation while the queue of the only other engine is full. The
// generation must not be given up before another engine has accepted it: its caller
// got an error.
func TestStalledGenerationContinuesWhenOtherEngineIsFull(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	var current *backend
	got := generate(t, cl.url, 200, func(index int) {
		if index == 100 {
			current = cl.runningBackend()
			cl.otherBackend(current).fillQueue(t)
			current.engine.Hold()
			time.AfterFunc(holdTime, current.engine.Release)
		}
	})
	got.expectComplete(g, 200)
	g.Expect(current.engine.Counters().Requests).To(BeEquivalentTo(1))
}

// An engine is stuck for good although it answers probes. The stream must continue from
// the other engine, and the attempt on the stuck one must be cancelled.
func TestStuckGenerationMovesToOtherEngine(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	var current *backend
	var longest time.Duration
	last := time.Now()
	got := generate(t, cl.url, 200, func(index int) {
		longest, last = max(longest, time.Since(last)), time.Now()
		if index == 100 {
			current = cl.runningBackend()
			current.engine.Hold()
		}
	})
	got.expectComplete(g, 200)
	g.Expect(longest).To(BeNumerically("<", holdTime))
	g.Expect(cl.otherBackend(current).engine.Counters().Requests).To(BeEquivalentTo(1))
	current.engine.Release()
	g.Eventually(func() uint64 { return current.engine.Counters().Cancelled }, "5s", "10ms").Should(BeEquivalentTo(1))
}

// A backend server leaves while the queue of the only other one is full. The generation
// must not be ended before the other one has accepted it: its caller got an error from
// a planned stop.
func TestPlannedStopWithFullEngineCompletesGeneration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	var current *backend
	got := generate(t, cl.url, 1500, func(index int) {
		if index == 100 {
			current = cl.runningBackend()
			cl.otherBackend(current).fillQueue(t)
			current.sidecar.BeginDrain("test")
		}
	})
	got.expectComplete(g, 1500)
	g.Expect(current.engine.Counters().Requests).To(BeEquivalentTo(1))
}

// A backend server leaves while another one is free. Its generation must continue there,
// with no token missing, repeated or taken from both.
func TestPlannedStopMovesRunningGeneration(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := newCluster(t)
	var current *backend
	got := generate(t, cl.url, 1500, func(index int) {
		if index == 100 {
			current = cl.runningBackend()
			current.sidecar.BeginDrain("test")
		}
	})
	got.expectComplete(g, 1500)
	g.Expect(cl.otherBackend(current).engine.Counters().Requests).To(BeEquivalentTo(1))
	g.Expect(current.engine.Counters().Cancelled).To(BeEquivalentTo(1))
}

// All three engines get stuck. A stalled generation is offered to a second engine, then
// the third one recovers and the generation's own engine dies. The generation must not
// wait for the second engine but resume on the third.
func TestOfferToStuckEngineIsDroppedAfterLoss(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	cl := &cluster{backends: []*backend{newBackend(t, "a"), newBackend(t, "b"), newBackend(t, "c")}}
	url := newRouter(t, cl.backends[0].address, cl.backends[1].address, cl.backends[2].address)
	lose := func() {
		current := cl.runningBackend()
		for _, b := range cl.backends {
			b.engine.Hold()
			t.Cleanup(b.engine.Release)
		}
		for asked := 0; asked < 2; time.Sleep(time.Millisecond) {
			asked = 0
			for _, b := range cl.backends {
				asked += b.engine.Counters().Queued + b.engine.Counters().Running
			}
		}
		for _, b := range cl.backends {
			if c := b.engine.Counters(); c.Queued+c.Running == 0 {
				b.engine.Release()
			}
		}
		current.engine.Crash()
	}
	got := make(chan generateResult, 1)
	go func() {
		got <- generate(t, url, 200, func(index int) {
			if index == 100 {
				go lose()
			}
		})
	}()
	var result generateResult
	g.Eventually(got, "10s").Should(Receive(&result))
	result.expectComplete(g, 200)
}

func (c *cluster) otherBackend(b *backend) *backend {
	for _, other := range c.backends {
		if other != b {
			return other
		}
	}
	return nil
}

// fillQueue holds the engine and fills its queue, so that it refuses all requests until
// the test ends.
func (b *backend) fillQueue(t *testing.T) {
	b.engine.Hold()
	t.Cleanup(b.engine.Release)
	for b.engine.Counters().Refused == 0 {
		go func() {
			body := strings.NewReader(`{"model":"pear","prompt":"p","max_tokens":1}`)
			resp, err := http.Post(b.engineURL+"/v1/generate", "application/json", body)
			if err == nil {
				_ = resp.Body.Close()
			}
		}()
		time.Sleep(time.Millisecond)
	}
}

// Engines preempt generations for about as long as it takes until these are offered to
// another engine, so that the two attempts of a generation bring tokens at the same
// time. Every answer must consist of one attempt's tokens only.
func TestConcurrentTokensOfAttemptAndOffer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const streams = 16 // fit into one engine
	cl := newCluster(t)
	cl.backends[1].engine.SetSlowdown(30) // an offer stays open for a step of 60 ms
	got := make(chan generateResult, streams)
	for range streams {
		go func() { got <- generate(t, cl.url, 300, func(int) {}) }()
	}
	g.Eventually(cl.requests, "5s", "1ms").Should(BeEquivalentTo(streams))
	time.Sleep(100 * time.Millisecond) // lets some tokens be generated
	for round := range 2 {
		cl.backends[0].engine.Hold()
		// stallTimeout, after which the generations are offered, and then one or two
		// steps of the other engine
		time.Sleep(1500*time.Millisecond + time.Duration(60+70*round)*time.Millisecond)
		cl.backends[0].engine.Release()
		time.Sleep(50 * time.Millisecond)
	}
	cl.backends[1].engine.SetSlowdown(1)
	for range streams {
		(<-got).expectComplete(g, 300)
	}
}

// An engine gets stuck with a generation under way, although it answers probes, while
// another engine is free. Requests that arrive later, and those just sent to it, must
// not wait at the stuck engine until their deadlines.
func TestStuckEngineDoesNotDelayOtherRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const tokens, others = 400, 16
	cl := newCluster(t)
	got := make(chan generateResult, others+1)
	first := make(chan time.Duration, others)
	var current *backend
	send := func() {
		begun := time.Now()
		got <- generate(t, cl.url, tokens, func(index int) {
			if index == 0 {
				first <- time.Since(begun)
			}
		})
	}
	go func() {
		got <- generate(t, cl.url, tokens, func(index int) {
			if index == 50 {
				current = cl.runningBackend()
				current.engine.Hold()
				for range others / 2 {
					go send()
				}
				time.AfterFunc(2*time.Second, func() {
					for range others / 2 {
						go send()
					}
				})
			}
		})
	}()
	for range others + 1 {
		var result generateResult
		g.Eventually(got, "12s").Should(Receive(&result))
		result.expectComplete(g, tokens)
	}
	for range others {
		g.Expect(<-first).To(BeNumerically("<", holdTime))
	}
}
