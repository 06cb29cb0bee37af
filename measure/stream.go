package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pearyard/pearyard/engine"
	engineapi "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

const (
	// tokensBar is the rate that one router is to carry within coresBar cores.
	tokensBar = 100_000
	coresBar  = 2
	// addedBar is the longest time that a token may take more than from the engine direct.
	addedBar = 1.0 // milliseconds, at p99
	// warmup is how many first tokens of a stream aren't counted: connections
	// are made and prompts prefilled while they come.
	warmup = 5
)

// StreamOptions configure a measurement of streams.
type StreamOptions struct {
	Bin      string
	Engines  int
	Streams  []int
	Step     time.Duration
	Duration time.Duration // of a round
	Runs     int
	Direct   bool // as many streams beside them from the engines direct
	Progress io.Writer
}

// DefaultStream returns the options that docs/MEASUREMENTS.md speaks of.
func DefaultStream() StreamOptions {
	return StreamOptions{Engines: 8, Streams: []int{1, 100, 1000}, Step: 40 * time.Millisecond, Duration: 6 * time.Second, Runs: 5, Direct: true, Progress: io.Discard}
}

// StreamRun is one round of streams.
type StreamRun struct {
	Routed        Quantiles `json:"routed"` // from the engine's write to the caller
	Direct        Quantiles `json:"direct"`
	AddedP50      float64   `json:"added_p50_ms"`
	AddedP99      float64   `json:"added_p99_ms"`
	Rate          float64   `json:"tokens_per_second"`
	RouterMicros  float64   `json:"router_cpu_us_per_token"`
	SidecarMicros float64   `json:"sidecar_cpu_us_per_token"`
	RouterBytes   float64   `json:"router_bytes_per_stream"`
	Broken        int       `json:"answers_not_whole"`
	Fault         string    `json:"fault,omitempty"` // of one of them
}

// StreamResult is what was measured at one number of streams.
type StreamResult struct {
	Streams  int         `json:"streams"`
	Step     string      `json:"step"`
	AddedP50 Spread      `json:"added_p50_ms"`
	AddedP99 Spread      `json:"added_p99_ms"`
	Rate     Spread      `json:"tokens_per_second"`
	Router   Spread      `json:"router_cpu_us_per_token"`
	Sidecar  Spread      `json:"sidecar_cpu_us_per_token"`
	Memory   Spread      `json:"router_bytes_per_stream"`
	Broken   int         `json:"answers_not_whole"`
	Runs     []StreamRun `json:"runs"`
	Machine  Machine     `json:"machine"`
}

// Stream measures one router at each number of streams.
func Stream(ctx context.Context, opts StreamOptions) ([]StreamResult, error) {
	var out []StreamResult
	for _, n := range opts.Streams {
		result := StreamResult{Streams: n, Step: opts.Step.String()}
		for range opts.Runs {
			run, err := streamRun(ctx, opts, n)
			if err != nil {
				return out, err
			}
			result.Runs = append(result.Runs, run)
		}
		result.sumUp()
		fmt.Fprintln(opts.Progress, result)
		out = append(out, result)
	}
	return out, nil
}

func (r *StreamResult) sumUp() {
	spread := func(of func(StreamRun) float64) Spread {
		var values []float64
		for _, run := range r.Runs {
			values = append(values, of(run))
		}
		return spreadOf(values)
	}
	r.AddedP50 = spread(func(s StreamRun) float64 { return s.AddedP50 })
	r.AddedP99 = spread(func(s StreamRun) float64 { return s.AddedP99 })
	r.Rate = spread(func(s StreamRun) float64 { return s.Rate })
	r.Router = spread(func(s StreamRun) float64 { return s.RouterMicros })
	r.Sidecar = spread(func(s StreamRun) float64 { return s.SidecarMicros })
	r.Memory = spread(func(s StreamRun) float64 { return s.RouterBytes })
	for _, run := range r.Runs {
		r.Broken += run.Broken
	}
	r.Machine = machine()
}

// String returns the result as one line of the report.
func (r StreamResult) String() string {
	microsBar := coresBar * 1e6 / tokensBar
	return fmt.Sprintf("streams %4d  added p50 %.3f ms p99 %.3f [%.3f..%.3f] (bar %.0f met %t)  %.0f tokens/s  router %.1f us/token [%.1f..%.1f] (bar %.0f met %t) sidecar %.1f  %.0f KB/stream  broken %d  load %s",
		r.Streams, r.AddedP50.Median, r.AddedP99.Median, r.AddedP99.Least, r.AddedP99.Most, addedBar, r.AddedP99.Median < addedBar,
		r.Rate.Median, r.Router.Median, r.Router.Least, r.Router.Most, microsBar, r.Router.Median < microsBar, r.Sidecar.Median, r.Memory.Median/1024, r.Broken, r.Machine.Load)
}

func streamRun(ctx context.Context, opts StreamOptions, n int) (StreamRun, error) {
	var own []*ownEngine
	for range opts.Engines {
		e, err := startOwnEngine(standin.EngineOptions{StepBase: opts.Step, Capacity: ownCapacity})
		if err != nil {
			return StreamRun{}, err
		}
		defer func() { _ = e.server.Close() }()
		own = append(own, e)
	}
	s, err := startSite(ctx, siteOptions{bin: opts.Bin, engines: opts.Engines, routers: 1, own: own, recovery: text.DefaultRecovery()})
	if err != nil {
		return StreamRun{}, err
	}
	defer s.stop()
	tokens := int(opts.Duration / opts.Step)
	idle := usageOf(s.routers[0])
	before := s.cpu()
	began := time.Now()
	var direct []*directCall
	var wait sync.WaitGroup
	if opts.Direct {
		direct = startDirect(ctx, &wait, own, n, tokens)
	}
	load := startLoad(ctx, s.callers(), loadOptions{Calls: n, Tokens: tokens, PromptWords: 40, Ramp: opts.Step * 5, Seed: 1})
	time.Sleep(opts.Duration / 2)
	busy := usageOf(s.routers[0])
	calls := load.join()
	wait.Wait()
	elapsed := time.Since(began)
	after := s.cpu()
	s.stopProfiled()
	return streamFigures(calls, direct, own, before, after, elapsed, float64(busy.rss-idle.rss)/float64(n)), nil
}

// cpu is the processor time of the router and of all sidecars so far.
func (s *site) cpu() (out struct{ router, sidecars time.Duration }) {
	out.router = usageOf(s.routers[0]).cpu
	for _, b := range s.backends {
		out.sidecars += usageOf(b.sidecar).cpu
	}
	return out
}

// directCall is one generation taken from an engine without pearyard.
type directCall struct {
	id       string
	arrivals []time.Time
}

func startDirect(ctx context.Context, wait *sync.WaitGroup, own []*ownEngine, n, tokens int) []*directCall {
	var out []*directCall
	for i := range n {
		c := &directCall{id: fmt.Sprintf("direct-%d", i)}
		out = append(out, c)
		client := engineapi.New(engineapi.Options{Address: own[i%len(own)].address})
		wait.Go(func() {
			_, _ = client.Generate(ctx, engine.Request{ID: c.id, Prompt: c.id, MaxTokens: tokens}, func(types.Token) error {
				c.arrivals = append(c.arrivals, time.Now())
				return nil
			})
		})
	}
	return out
}

func streamFigures(calls []*call, direct []*directCall, own []*ownEngine, before, after struct{ router, sidecars time.Duration }, elapsed time.Duration, perStream float64) StreamRun {
	out := StreamRun{RouterBytes: perStream}
	tokens := 0
	var routed, straight []time.Duration
	for _, c := range calls {
		if err := c.whole(); err != nil {
			out.Broken++
			out.Fault = err.Error()
			continue
		}
		tokens += len(c.arrivals)
		routed = append(routed, delays(own, c.requestID, c.times())...)
	}
	for _, c := range direct {
		straight = append(straight, delays(own, c.id, c.arrivals)...)
	}
	out.Routed, out.Direct = quantilesOf(routed), quantilesOf(straight)
	out.AddedP50, out.AddedP99 = out.Routed.P50-out.Direct.P50, out.Routed.P99-out.Direct.P99
	out.Rate = float64(tokens) / elapsed.Seconds()
	perToken := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(tokens, 1)) }
	out.RouterMicros, out.SidecarMicros = perToken(after.router-before.router), perToken(after.sidecars-before.sidecars)
	return out
}

// delays are the times that a request's tokens took from the engine's write on.
func delays(own []*ownEngine, request string, arrivals []time.Time) []time.Duration {
	var out []time.Duration
	for _, e := range own {
		written := e.of(request)
		for i := warmup; i < min(len(written), len(arrivals)); i++ {
			out = append(out, arrivals[i].Sub(written[i]))
		}
	}
	return out
}

func (c *call) times() []time.Time {
	var out []time.Time
	for _, a := range c.arrivals {
		out = append(out, a.at)
	}
	return out
}
