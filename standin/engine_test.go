package standin_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/engine"
	engineapi "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/types"
)

const prompt = "list the bare-root pears that can be lifted in week 48 and their substitutes, by depot"

func startEngine(t testing.TB, opts standin.EngineOptions) (*standin.Engine, *engineapi.Client) {
	e := standin.NewEngine(opts)
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(e.Kill)
	return e, engineapi.New(engineapi.Options{Address: server.Listener.Addr().String()})
}

// collector collects emitted tokens; count may be called concurrently with emit.
type collector struct {
	mu     sync.Mutex
	tokens []types.Token
}

func (c *collector) emit(token types.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = append(c.tokens, token)
	return nil
}

func (c *collector) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tokens)
}

func (c *collector) texts() []string {
	var out []string
	for _, token := range c.tokens {
		out = append(out, token.Text)
	}
	return out
}

// endlessTokens is a generation length that no test waits for.
const endlessTokens = 1 << 20

// startGeneration starts a generation that runs until it is cancelled or interrupted.
// done receives the result of Generate.
func startGeneration(t *testing.T, c *engineapi.Client, got *collector, prompt string) (cancel context.CancelFunc, done chan error) {
	return startRequest(t, c, got, engine.Request{Prompt: prompt, MaxTokens: endlessTokens})
}

func startRequest(t *testing.T, c *engineapi.Client, got *collector, request engine.Request) (cancel context.CancelFunc, done chan error) {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	done = make(chan error, 1)
	go func() {
		_, err := c.Generate(ctx, request, got.emit)
		done <- err
	}()
	return cancel, done
}

func TestAnswerIsCompleteAcrossResume(t *testing.T) {
	g := NewWithT(t)
	e, c := startEngine(t, standin.EngineOptions{})
	var got collector
	result, err := c.Generate(t.Context(), engine.Request{Prompt: prompt, MaxTokens: 40}, got.emit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Finish).To(Equal(types.FinishLength))
	_, err = c.Generate(t.Context(), engine.Request{Prompt: prompt, Emitted: got.tokens, MaxTokens: 60}, got.emit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.tokens).To(HaveLen(100))
	g.Expect(standin.CheckAnswer(prompt, got.texts())).To(Succeed())
	g.Expect(e.Counters().Tokens).To(BeEquivalentTo(100))
}

func TestResumeOfEndedAnswerGetsNoToken(t *testing.T) {
	// An engine dies between its last token and the finish line. The caller has
	// the whole answer already; a resume must not add another token.
	g := NewWithT(t)
	_, c := startEngine(t, standin.EngineOptions{StopAfter: 5})
	var got collector
	_, err := c.Generate(t.Context(), engine.Request{Prompt: prompt, MaxTokens: 9}, got.emit)
	g.Expect(err).NotTo(HaveOccurred())
	result, err := c.Generate(t.Context(), engine.Request{Prompt: prompt, Emitted: got.tokens, MaxTokens: 4}, got.emit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Finish).To(Equal(types.FinishStop))
	g.Expect(got.tokens).To(HaveLen(5))
}

func TestPoisonedRequestBreaksWholeBatch(t *testing.T) {
	// A poisoned request crashes the engine while it also runs another request.
	// Both streams break without a finish line, and the engine accepts nothing
	// until Revive.
	g := NewWithT(t)
	e, c := startEngine(t, standin.EngineOptions{StepBase: time.Millisecond, PoisonAfter: 3})
	var neighbour, poisoned collector
	_, done := startGeneration(t, c, &neighbour, prompt)
	g.Eventually(neighbour.count).Should(BeNumerically(">", 0))
	_, crashed := startGeneration(t, c, &poisoned, "POISON "+prompt)
	g.Eventually(crashed, "5s").Should(Receive(MatchError(engine.ErrConnectionLost)))
	g.Eventually(done, "5s").Should(Receive(MatchError(engine.ErrConnectionLost)))
	g.Expect(poisoned.count()).To(BeNumerically("<=", 3))
	g.Expect(c.Healthy(t.Context())).To(MatchError(engine.ErrConnectionLost))
	e.Revive()
	g.Expect(c.Healthy(t.Context())).To(Succeed())
}

func TestFreezePausesAndCutBreaks(t *testing.T) {
	// A frozen engine keeps its connections open, sends nothing and continues
	// where it stopped after the thaw. A cut connection ends the stream.
	g := NewWithT(t)
	e, c := startEngine(t, standin.EngineOptions{StepBase: time.Millisecond})
	var got collector
	_, done := startGeneration(t, c, &got, prompt)
	g.Eventually(got.count).Should(BeNumerically(">", 2))
	e.Freeze()
	limit := got.count() + 3 // one step may be in progress, and its tokens in transit
	g.Consistently(got.count, "50ms").Should(BeNumerically("<=", limit))
	e.Thaw()
	g.Eventually(got.count).Should(BeNumerically(">", limit))
	e.Cut()
	g.Eventually(done, "5s").Should(Receive(MatchError(engine.ErrConnectionLost)))
	g.Expect(c.Healthy(t.Context())).To(Succeed())
	g.Expect(standin.CheckAnswer(prompt, got.texts())).To(Succeed())
}

func TestCancelFreesBatch(t *testing.T) {
	g := NewWithT(t)
	e, c := startEngine(t, standin.EngineOptions{StepBase: time.Millisecond, Capacity: 1})
	var got collector
	cancel, done := startGeneration(t, c, &got, prompt)
	g.Eventually(got.count).Should(BeNumerically(">", 0))
	cancel()
	g.Eventually(done).Should(Receive(MatchError(context.Canceled)))
	g.Eventually(func() int { return e.Counters().Running }).Should(BeZero())
	g.Expect(e.Counters().Cancelled).To(BeEquivalentTo(1))
}

func TestPriorityAndFullQueue(t *testing.T) {
	// The batch holds one request and the queue two. A third waiting request is
	// refused, and the one of higher priority runs before the one that came first.
	g := NewWithT(t)
	e, c := startEngine(t, standin.EngineOptions{StepBase: time.Millisecond, Capacity: 1, MaxQueue: 2})
	var running collector
	cancelRunning, _ := startGeneration(t, c, &running, prompt)
	g.Eventually(running.count).Should(BeNumerically(">", 0))
	var low, high collector
	_, _ = startRequest(t, c, &low, engine.Request{Prompt: prompt, MaxTokens: endlessTokens})
	g.Eventually(func() int { return e.Counters().Queued }).Should(Equal(1))
	cancelHigh, _ := startRequest(t, c, &high, engine.Request{Prompt: prompt, MaxTokens: endlessTokens, Priority: 7})
	g.Eventually(func() int { return e.Counters().Queued }).Should(Equal(2))
	_, err := c.Generate(t.Context(), engine.Request{Prompt: prompt, MaxTokens: 1}, running.emit)
	g.Expect(err).To(MatchError(engine.ErrRefused))
	cancelRunning()
	g.Eventually(high.count).Should(BeNumerically(">", 0))
	g.Expect(low.count()).To(BeZero())
	cancelHigh()
	g.Eventually(low.count).Should(BeNumerically(">", 0))
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	g := NewWithT(t)
	_, c := startEngine(t, standin.EngineOptions{CacheEventLoss: 0.3})
	long := ""
	for range 50 {
		long += prompt + " "
	}
	var got collector
	first, err := c.Generate(t.Context(), engine.Request{Prompt: long, MaxTokens: 1}, got.emit)
	g.Expect(err).NotTo(HaveOccurred())
	prefix := engine.PrefixOf(long, nil)
	g.Expect(first.PrefilledTokens).To(Equal(prefix.Tokens))
	second, err := c.Generate(t.Context(), engine.Request{Prompt: long + "more", MaxTokens: 1}, got.emit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.PrefilledTokens).To(BeNumerically("<=", engine.BlockTokens))
	events, err := c.CacheEvents(t.Context(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(events)).To(And(BeNumerically(">", 0), BeNumerically("<", len(prefix.Blocks))))
	g.Expect(prefix.Blocks).To(ContainElement(events[0].Block))
	load, err := c.Load(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(load.CachedTokens).To(BeNumerically(">", 0))
}

func TestOrderWithOldFence(t *testing.T) {
	// An order arrives after one with a higher fencing number. An engine that checks them
	// refuses it; one that doesn't check applies it and counts it.
	g := NewWithT(t)
	for _, checks := range []bool{true, false} {
		e, c := startEngine(t, standin.EngineOptions{CheckFence: checks, Models: []string{"a"}})
		order := engine.Order{Kind: engine.OrderLoadModel, Name: "b", Version: "2", Fence: 9}
		g.Expect(c.Order(t.Context(), order)).To(Succeed())
		order.Version, order.Fence = "1", 8
		if checks {
			g.Expect(c.Order(t.Context(), order)).To(MatchError(engine.ErrStaleFence))
		} else {
			g.Expect(c.Order(t.Context(), order)).To(Succeed())
			g.Expect(e.Counters().StaleApplied).To(BeEquivalentTo(1))
		}
		loaded, err := c.Loaded(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(loaded).To(HaveLen(2))
		_, err = c.Generate(t.Context(), engine.Request{Model: "c", Prompt: prompt, MaxTokens: 1}, nil)
		g.Expect(err).To(MatchError(engine.ErrRefused))
	}
}

func BenchmarkEngineStep(b *testing.B) {
	e, c := startEngine(b, standin.EngineOptions{Capacity: 32})
	var wg sync.WaitGroup
	for range 32 {
		wg.Go(func() {
			request := engine.Request{Prompt: prompt, MaxTokens: b.N}
			if _, err := c.Generate(b.Context(), request, func(types.Token) error { return nil }); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(e.Counters().Tokens)/b.Elapsed().Seconds(), "tokens/s")
}
