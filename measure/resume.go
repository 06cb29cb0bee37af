package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pearyard/pearyard/route"
	"github.com/pearyard/pearyard/text"
)

// Mode selects the system under test or one of the two baselines.
type Mode string

// Modes of the resume measurement.
const (
	ModeSystem    Mode = "system"     // pearyard with the given settings
	ModeStartOver Mode = "start-over" // no resume: callers send their requests again
	ModePlain     Mode = "plain"      // resume without journal and without affinity
)

// Modes lists all modes.
var Modes = []Mode{ModeSystem, ModeStartOver, ModePlain}

// ResumeOptions configure a measurement of resumes.
type ResumeOptions struct {
	Bin      string
	Engines  int
	Routers  int
	Runs     int
	Causes   []Cause
	Modes    []Mode
	Load     loadOptions // CauseTenthKilled has three times as many calls
	Times    engineTimes
	Recovery text.Recovery
	LossAt   time.Duration // time of the loss after the start of the load
	Progress io.Writer
}

// DefaultResume returns the options of the results in docs/MEASUREMENTS.md.
func DefaultResume() ResumeOptions {
	return ResumeOptions{
		Engines: 6, Routers: 2, Runs: 5, Causes: Causes, Modes: Modes,
		Load:     loadOptions{Calls: 36, Tokens: 400, PromptWords: 200, Ramp: 300 * time.Millisecond},
		Times:    engineTimes{Step: 8 * time.Millisecond, PerRequest: 50 * time.Microsecond, Prefill: 20 * time.Microsecond},
		Recovery: text.DefaultRecovery(), LossAt: 1800 * time.Millisecond, Progress: io.Discard,
	}
}

// ResumeResult is the result for one cause and one mode.
type ResumeResult struct {
	Cause          Cause     `json:"cause"`
	Mode           Mode      `json:"mode"`
	Hit            int       `json:"generations_hit"` // generations that the loss affected and that continued
	Incomplete     int       `json:"answers_not_whole"`
	Errors         []string  `json:"faults,omitempty"`
	Latency        Quantiles `json:"latency"`             // from the loss to the caller's next token, all runs
	OverPrefill    Spread    `json:"p99_over_prefill_ms"` // P99 of each run without its prefillMillis
	P50            Spread    `json:"p50_ms"`              // of each run
	P99            Spread    `json:"p99_ms"`              // of each run
	Regained       Quantiles `json:"regained"`            // from the loss until the caller had more tokens than before it
	AfterReconnect Quantiles `json:"after_return"`        // from the caller's reconnection to its next token
	Pause          Quantiles `json:"pause"`               // between the last token before the loss and the first after it
	Target         float64   `json:"bar_ms,omitempty"`    // of latencyTargets; 0: none
	Met            bool      `json:"bar_met"`             // targetedLatency is below Target
	Runs           []RunCost `json:"runs"`
	Machine        Machine   `json:"machine"`
}

// outcome is the result of one run.
type outcome struct {
	hits   []resumption // one per affected call
	errors []string     // one per incomplete answer
	cost   RunCost
}

// Resume measures every cause with every mode.
func Resume(ctx context.Context, opts ResumeOptions) ([]ResumeResult, error) {
	var out []ResumeResult
	for _, cause := range opts.Causes {
		for _, mode := range opts.Modes {
			result, err := resumeCase(ctx, opts, cause, mode)
			if err != nil {
				return out, err
			}
			fmt.Fprintln(opts.Progress, result)
			out = append(out, result)
		}
	}
	return out, nil
}

// resumeCase measures one cause with one mode.
func resumeCase(ctx context.Context, opts ResumeOptions, cause Cause, mode Mode) (ResumeResult, error) {
	var runs []outcome
	for seed := range opts.Runs {
		opts.Load.Seed = uint64(seed + 1)
		r, err := resumeRun(ctx, opts, cause, mode)
		if err != nil {
			return ResumeResult{}, err
		}
		runs = append(runs, r)
	}
	return summarizeResume(opts, cause, mode, runs), nil
}

// siteOptions returns the options of the site for a cause and a mode.
func (o ResumeOptions) siteOptions(cause Cause, mode Mode) siteOptions {
	site := siteOptions{bin: o.Bin, engines: o.Engines, routers: o.Routers, relays: cause == CauseCut, times: o.Times, recovery: o.Recovery}
	if cause == CauseTenthKilled {
		site.engines = max(o.Engines, 20) // a tenth of them are at least two
	}
	switch mode {
	case ModeStartOver:
		site.recovery.MaxResumes = 0
	case ModePlain:
		site.recovery.JournalPeers = 0
		site.policy = route.RoundRobin
	}
	return site
}

// resumeRun starts a site and the load, causes the loss, and waits for the calls to end.
func resumeRun(ctx context.Context, opts ResumeOptions, cause Cause, mode Mode) (outcome, error) {
	if mode == ModeStartOver {
		opts.Load.strategy = startOver
	}
	if cause == CauseTenthKilled {
		opts.Load.Calls *= 3
	}
	s, err := startSite(ctx, opts.siteOptions(cause, mode))
	if err != nil {
		return outcome{}, err
	}
	defer s.stop()
	load := startLoad(ctx, s.callerAddresses(), opts.Load)
	time.Sleep(opts.LossAt)
	lostAt := time.Now()
	if err := s.causeLoss(cause); err != nil {
		return outcome{}, err
	}
	calls := load.join()
	s.undoLoss()
	time.Sleep(settleTime)
	r := outcome{}
	for _, c := range calls {
		if err := c.verify(); err != nil {
			r.errors = append(r.errors, err.Error())
		}
		if resumed, hit := c.resumptionAfter(lostAt); hit {
			r.hits = append(r.hits, resumed)
		}
	}
	r.cost = s.runCost(calls, cause, r.hits)
	return r, nil
}

func summarizeResume(opts ResumeOptions, cause Cause, mode Mode, runs []outcome) ResumeResult {
	out := ResumeResult{Cause: cause, Mode: mode, Target: latencyTargets[cause], Machine: machine()}
	var all []resumption
	var p50, p99, over []float64
	for _, r := range runs {
		all = append(all, r.hits...)
		out.Incomplete += len(r.errors)
		out.Errors = append(out.Errors, r.errors...)
		out.Runs = append(out.Runs, r.cost)
		q := quantilesOf(durationsOf(r.hits, func(r resumption) time.Duration { return r.afterLoss }))
		p50, p99 = append(p50, q.P50), append(p99, q.P99)
		over = append(over, q.P99-prefillMillis(opts.Times, r))
	}
	out.Hit, out.P50, out.P99, out.OverPrefill = len(all), spreadOf(p50), spreadOf(p99), spreadOf(over)
	out.Latency = quantilesOf(durationsOf(all, func(r resumption) time.Duration { return r.afterLoss }))
	out.Regained = quantilesOf(durationsOf(all, func(r resumption) time.Duration { return r.regained }))
	out.Pause = quantilesOf(durationsOf(all, func(r resumption) time.Duration { return r.pause }))
	returned := slices.DeleteFunc(slices.Clone(all), func(r resumption) bool { return r.afterReconnect == 0 })
	out.AfterReconnect = quantilesOf(durationsOf(returned, func(r resumption) time.Duration { return r.afterReconnect }))
	out.Met = out.Target > 0 && out.Hit > 0 && out.targetedLatency() < out.Target
	return out
}

// targetedLatency returns the latency that the target of the cause applies to.
func (r ResumeResult) targetedLatency() float64 {
	switch r.Cause {
	case CauseEngineKilled:
		return r.OverPrefill.Median
	case CauseRouterKilled:
		return r.AfterReconnect.P99
	default:
		return r.Latency.P99
	}
}

// prefillMillis returns the time that a stand-in engine takes for the first token of a
// resume: the mean prefill of the run, and a step of the batch. It is not pearyard's.
func prefillMillis(times engineTimes, r outcome) float64 {
	if len(r.hits) == 0 {
		return 0
	}
	tokens := r.cost.PrefilledForResume / float64(len(r.hits))
	prefill := time.Duration(tokens*float64(times.Prefill)) + times.Step
	return float64(prefill.Microseconds()) / 1000
}

func durationsOf(hits []resumption, of func(resumption) time.Duration) []time.Duration {
	var out []time.Duration
	for _, h := range hits {
		out = append(out, of(h))
	}
	return out
}

// String returns the result as one line.
func (r ResumeResult) String() string {
	return fmt.Sprintf("%-14s %-10s hit %3d broken %d  p50 %6.0f p95 %6.0f p99 %6.0f max %6.0f  over-prefill %5.0f [%.0f..%.0f]  return-p99 %5.0f  regained-p99 %6.0f  pause-p99 %6.0f  bar %5.0f met %-5t load %s",
		r.Cause, r.Mode, r.Hit, r.Incomplete, r.Latency.P50, r.Latency.P95, r.Latency.P99, r.Latency.Max,
		r.OverPrefill.Median, r.OverPrefill.Min, r.OverPrefill.Max, r.AfterReconnect.P99, r.Regained.P99, r.Pause.P99, r.Target, r.Met, r.Machine.Load)
}
