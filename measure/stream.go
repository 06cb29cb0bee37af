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
	// rateTarget is the token rate, in tokens per second, that one router should sustain
	// within coresTarget cores.
	rateTarget  = 100_000
	coresTarget = 2
	// addedTarget limits the latency of a token on top of that from the engine directly.
	addedTarget = 1.0 // milliseconds, at p99
	// warmupTokens is how many first tokens of a stream aren't counted: connections are made and
	// prompts prefilled at that time.
	warmupTokens = 5
)

// StreamOptions configure a measurement of streams.
type StreamOptions struct {
	Bin      string
	Engines  int
	Streams  []int         // numbers of concurrent streams, measured one after the other
	Step     time.Duration // between two tokens of a stream
	Duration time.Duration // duration of a round
	Runs     int
	Direct   bool // also run as many streams from the engines directly
	Progress io.Writer
}

// DefaultStream returns the options of the results in docs/MEASUREMENTS.md.
func DefaultStream() StreamOptions {
	return StreamOptions{Engines: 8, Streams: []int{1, 100, 1000}, Step: 40 * time.Millisecond, Duration: 6 * time.Second, Runs: 5, Direct: true, Progress: io.Discard}
}

// StreamRun is one round of streams.
type StreamRun struct {
	Routed        Quantiles `json:"routed"` // latency from the engine's write to the caller
	Direct        Quantiles `json:"direct"` // the same without pearyard
	AddedP50      float64   `json:"added_p50_ms"`
	AddedP99      float64   `json:"added_p99_ms"`
	Rate          float64   `json:"tokens_per_second"`
	RouterMicros  float64   `json:"router_cpu_us_per_token"`
	SidecarMicros float64   `json:"sidecar_cpu_us_per_token"`
	RouterBytes   float64   `json:"router_bytes_per_stream"`
	Incomplete    int       `json:"answers_not_whole"`
	Error         string    `json:"fault,omitempty"` // error of one of the incomplete answers
}

// StreamResult is the result for one number of streams.
type StreamResult struct {
	Streams    int         `json:"streams"`
	Step       string      `json:"step"`
	AddedP50   Spread      `json:"added_p50_ms"`
	AddedP99   Spread      `json:"added_p99_ms"`
	Rate       Spread      `json:"tokens_per_second"`
	Router     Spread      `json:"router_cpu_us_per_token"`
	Sidecar    Spread      `json:"sidecar_cpu_us_per_token"`
	Memory     Spread      `json:"router_bytes_per_stream"`
	Incomplete int         `json:"answers_not_whole"`
	Runs       []StreamRun `json:"runs"`
	Machine    Machine     `json:"machine"`
}

// Stream measures one router with each number of streams.
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
		result.summarize()
		fmt.Fprintln(opts.Progress, result)
		out = append(out, result)
	}
	return out, nil
}

// summarize sets the figures over all runs.
func (r *StreamResult) summarize() {
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
		r.Incomplete += run.Incomplete
	}
	r.Machine = machine()
}

// String returns the result as one line.
func (r StreamResult) String() string {
	targetMicros := coresTarget * 1e6 / rateTarget
	return fmt.Sprintf("streams %4d  added p50 %.3f ms p99 %.3f [%.3f..%.3f] (bar %.0f met %t)  %.0f tokens/s  router %.1f us/token [%.1f..%.1f] (bar %.0f met %t) sidecar %.1f  %.0f KB/stream  broken %d  load %s",
		r.Streams, r.AddedP50.Median, r.AddedP99.Median, r.AddedP99.Min, r.AddedP99.Max, addedTarget, r.AddedP99.Median < addedTarget,
		r.Rate.Median, r.Router.Median, r.Router.Min, r.Router.Max, targetMicros, r.Router.Median < targetMicros, r.Sidecar.Median, r.Memory.Median/1024, r.Incomplete, r.Machine.Load)
}

// streamRun measures one round of n streams through a router and, with opts.Direct, as many
// directly from the engines at the same time.
func streamRun(ctx context.Context, opts StreamOptions, n int) (StreamRun, error) {
	var inProcess []*inProcessEngine
	for range opts.Engines {
		e, err := startInProcessEngine(standin.EngineOptions{StepBase: opts.Step, Capacity: inProcessCapacity})
		if err != nil {
			return StreamRun{}, err
		}
		defer func() { _ = e.server.Close() }()
		inProcess = append(inProcess, e)
	}
	s, err := startSite(ctx, siteOptions{bin: opts.Bin, engines: opts.Engines, routers: 1, inProcess: inProcess, recovery: text.DefaultRecovery()})
	if err != nil {
		return StreamRun{}, err
	}
	defer s.stop()
	tokens := int(opts.Duration / opts.Step)
	idle := usageOf(s.routers[0])
	before := s.cpuTime()
	start := time.Now()
	var direct []*directCall
	var wait sync.WaitGroup
	if opts.Direct {
		direct = startDirect(ctx, &wait, inProcess, n, tokens)
	}
	load := startLoad(ctx, s.callerAddresses(), loadOptions{Calls: n, Tokens: tokens, PromptWords: 40, Ramp: opts.Step * 5, Seed: 1})
	time.Sleep(opts.Duration / 2)
	busy := usageOf(s.routers[0])
	calls := load.join()
	wait.Wait()
	elapsed := time.Since(start)
	after := s.cpuTime()
	s.writeProfiles()
	return summarizeStreams(calls, direct, inProcess, before, after, elapsed, float64(busy.rss-idle.rss)/float64(n)), nil
}

// cpuTime returns the CPU time of the router and of all sidecars so far.
func (s *site) cpuTime() (out struct{ router, sidecars time.Duration }) {
	out.router = usageOf(s.routers[0]).cpu
	for _, b := range s.backends {
		out.sidecars += usageOf(b.sidecar).cpu
	}
	return out
}

// directCall is one generation requested from an engine directly, without pearyard.
type directCall struct {
	id       string
	arrivals []time.Time
}

// startDirect starts n generations, spread over the engines.
func startDirect(ctx context.Context, wait *sync.WaitGroup, inProcess []*inProcessEngine, n, tokens int) []*directCall {
	var out []*directCall
	for i := range n {
		c := &directCall{id: fmt.Sprintf("direct-%d", i)}
		out = append(out, c)
		client := engineapi.New(engineapi.Options{Address: inProcess[i%len(inProcess)].address})
		wait.Go(func() {
			_, _ = client.Generate(ctx, engine.Request{ID: c.id, Prompt: c.id, MaxTokens: tokens}, func(types.Token) error {
				c.arrivals = append(c.arrivals, time.Now())
				return nil
			})
		})
	}
	return out
}

// summarizeStreams returns the result of a round. before and after are the CPU times at its
// begin and end.
func summarizeStreams(calls []*call, direct []*directCall, inProcess []*inProcessEngine, before, after struct{ router, sidecars time.Duration }, elapsed time.Duration, bytesPerStream float64) StreamRun {
	out := StreamRun{RouterBytes: bytesPerStream}
	tokens := 0
	var routed, directDelays []time.Duration
	for _, c := range calls {
		if err := c.verify(); err != nil {
			out.Incomplete++
			out.Error = err.Error()
			continue
		}
		tokens += len(c.arrivals)
		routed = append(routed, delays(inProcess, c.requestID, c.arrivalTimes())...)
	}
	for _, c := range direct {
		directDelays = append(directDelays, delays(inProcess, c.id, c.arrivals)...)
	}
	out.Routed, out.Direct = quantilesOf(routed), quantilesOf(directDelays)
	out.AddedP50, out.AddedP99 = out.Routed.P50-out.Direct.P50, out.Routed.P99-out.Direct.P99
	out.Rate = float64(tokens) / elapsed.Seconds()
	perToken := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(tokens, 1)) }
	out.RouterMicros, out.SidecarMicros = perToken(after.router-before.router), perToken(after.sidecars-before.sidecars)
	return out
}

// delays returns how long each token of a request took from the engine's write to the caller.
func delays(inProcess []*inProcessEngine, request string, arrivals []time.Time) []time.Duration {
	var out []time.Duration
	for _, e := range inProcess {
		written := e.tokenTimes(request)
		for i := warmupTokens; i < min(len(written), len(arrivals)); i++ {
			out = append(out, arrivals[i].Sub(written[i]))
		}
	}
	return out
}

// arrivalTimes returns when the caller received each token.
func (c *call) arrivalTimes() []time.Time {
	var out []time.Time
	for _, a := range c.arrivals {
		out = append(out, a.at)
	}
	return out
}
