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

// Mode is the system under test, or one of the two baselines.
type Mode string

// Modes of a measurement of resumes.
const (
	ModeSystem    Mode = "system"     // as it ships
	ModeStartOver Mode = "start-over" // no resume at all: callers send their requests anew
	ModePlain     Mode = "plain"      // resume without journal and without affinity
)

// Modes lists them all.
var Modes = []Mode{ModeSystem, ModeStartOver, ModePlain}

// ResumeOptions configure a measurement of resumes.
type ResumeOptions struct {
	Bin      string
	Engines  int
	Routers  int
	Runs     int
	Causes   []Cause
	Modes    []Mode
	Load     loadOptions
	Times    engineTimes
	Recovery text.Recovery
	StrikeAt time.Duration // from the begin of the load
	Progress io.Writer
}

// DefaultResume returns the options that docs/MEASUREMENTS.md speaks of.
func DefaultResume() ResumeOptions {
	return ResumeOptions{
		Engines: 6, Routers: 2, Runs: 5, Causes: Causes, Modes: Modes,
		Load:     loadOptions{Calls: 36, Tokens: 400, PromptWords: 200, Ramp: 300 * time.Millisecond},
		Times:    engineTimes{Step: 8 * time.Millisecond, PerRequest: 50 * time.Microsecond, Prefill: 20 * time.Microsecond},
		Recovery: text.DefaultRecovery(), StrikeAt: 1800 * time.Millisecond, Progress: io.Discard,
	}
}

// ResumeResult is what was measured of one cause under one mode.
type ResumeResult struct {
	Cause       Cause     `json:"cause"`
	Mode        Mode      `json:"mode"`
	Hit         int       `json:"generations_hit"`
	Broken      int       `json:"answers_not_whole"`
	Faults      []string  `json:"faults,omitempty"`
	Latency     Quantiles `json:"latency"` // from the loss to the caller's next token, all runs
	OverPrefill Spread    `json:"p99_over_prefill_ms"`
	P50         Spread    `json:"p50_ms"`
	P99         Spread    `json:"p99_ms"`
	Regained    Quantiles `json:"regained"`     // until the caller had more than before the loss
	AfterReturn Quantiles `json:"after_return"` // from the caller's return to its next token
	Pause       Quantiles `json:"pause"`        // between the tokens around the loss
	Bar         float64   `json:"bar_ms,omitempty"`
	Met         bool      `json:"bar_met"`
	Runs        []Extra   `json:"runs"`
	Machine     Machine   `json:"machine"`
}

// outcome is one run's outcome.
type outcome struct {
	hits   []goneOn
	broken []string
	extra  Extra
}

// Resume measures every cause under every mode.
func Resume(ctx context.Context, opts ResumeOptions) ([]ResumeResult, error) {
	var out []ResumeResult
	for _, cause := range opts.Causes {
		for _, mode := range opts.Modes {
			result, err := resumeOne(ctx, opts, cause, mode)
			if err != nil {
				return out, err
			}
			fmt.Fprintln(opts.Progress, result)
			out = append(out, result)
		}
	}
	return out, nil
}

func resumeOne(ctx context.Context, opts ResumeOptions, cause Cause, mode Mode) (ResumeResult, error) {
	var runs []outcome
	for seed := range opts.Runs {
		opts.Load.Seed = uint64(seed + 1)
		r, err := resumeRun(ctx, opts, cause, mode)
		if err != nil {
			return ResumeResult{}, err
		}
		runs = append(runs, r)
	}
	return summed(opts, cause, mode, runs), nil
}

// siteOf returns the site that a cause needs under a mode.
func (o ResumeOptions) siteOf(cause Cause, mode Mode) siteOptions {
	site := siteOptions{bin: o.Bin, engines: o.Engines, routers: o.Routers, relays: cause == CauseCut, times: o.Times, recovery: o.Recovery}
	if cause == CauseTenthKilled {
		site.engines = max(o.Engines, 20)
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

func resumeRun(ctx context.Context, opts ResumeOptions, cause Cause, mode Mode) (outcome, error) {
	if mode == ModeStartOver {
		opts.Load.strategy = startOver
	}
	if cause == CauseTenthKilled {
		opts.Load.Calls *= 3
	}
	s, err := startSite(ctx, opts.siteOf(cause, mode))
	if err != nil {
		return outcome{}, err
	}
	defer s.stop()
	load := startLoad(ctx, s.callers(), opts.Load)
	time.Sleep(opts.StrikeAt)
	struck := time.Now()
	if err := s.strike(cause); err != nil {
		return outcome{}, err
	}
	calls := load.join()
	s.heal()
	time.Sleep(settleTime)
	r := outcome{}
	for _, c := range calls {
		if err := c.whole(); err != nil {
			r.broken = append(r.broken, err.Error())
		}
		if g, hit := c.after(struck); hit {
			r.hits = append(r.hits, g)
		}
	}
	r.extra = s.extra(calls, cause, r.hits)
	return r, nil
}

func summed(opts ResumeOptions, cause Cause, mode Mode, runs []outcome) ResumeResult {
	out := ResumeResult{Cause: cause, Mode: mode, Bar: bars[cause], Machine: machine()}
	var all []goneOn
	var p50, p99, over []float64
	for _, r := range runs {
		all = append(all, r.hits...)
		out.Broken += len(r.broken)
		out.Faults = append(out.Faults, r.broken...)
		out.Runs = append(out.Runs, r.extra)
		q := quantilesOf(values(r.hits, func(g goneOn) time.Duration { return g.afterLoss }))
		p50, p99 = append(p50, q.P50), append(p99, q.P99)
		over = append(over, q.P99-prefillMillis(opts.Times, r))
	}
	out.Hit, out.P50, out.P99, out.OverPrefill = len(all), spreadOf(p50), spreadOf(p99), spreadOf(over)
	out.Latency = quantilesOf(values(all, func(g goneOn) time.Duration { return g.afterLoss }))
	out.Regained = quantilesOf(values(all, func(g goneOn) time.Duration { return g.regained }))
	out.Pause = quantilesOf(values(all, func(g goneOn) time.Duration { return g.pause }))
	returned := slices.DeleteFunc(slices.Clone(all), func(g goneOn) bool { return g.afterReturn == 0 })
	out.AfterReturn = quantilesOf(values(returned, func(g goneOn) time.Duration { return g.afterReturn }))
	out.Met = out.Bar > 0 && out.Hit > 0 && out.held() < out.Bar
	return out
}

// held is the figure that is held against the bar.
func (r ResumeResult) held() float64 {
	switch r.Cause {
	case CauseEngineKilled:
		return r.OverPrefill.Median
	case CauseRouterKilled:
		return r.AfterReturn.P99
	default:
		return r.Latency.P99
	}
}

// prefillMillis is the stand-in's own time for the first token of a resume: the
// mean prefill, and a step of the batch.
func prefillMillis(times engineTimes, r outcome) float64 {
	if len(r.hits) == 0 {
		return 0
	}
	tokens := r.extra.PrefilledAgain / float64(len(r.hits))
	own := time.Duration(tokens*float64(times.Prefill)) + times.Step
	return float64(own.Microseconds()) / 1000
}

func values(hits []goneOn, of func(goneOn) time.Duration) []time.Duration {
	var out []time.Duration
	for _, h := range hits {
		out = append(out, of(h))
	}
	return out
}

// String returns the result as one line of the report.
func (r ResumeResult) String() string {
	return fmt.Sprintf("%-14s %-10s hit %3d broken %d  p50 %6.0f p95 %6.0f p99 %6.0f max %6.0f  over-prefill %5.0f [%.0f..%.0f]  return-p99 %5.0f  regained-p99 %6.0f  pause-p99 %6.0f  bar %5.0f met %-5t load %s",
		r.Cause, r.Mode, r.Hit, r.Broken, r.Latency.P50, r.Latency.P95, r.Latency.P99, r.Latency.Max,
		r.OverPrefill.Median, r.OverPrefill.Least, r.OverPrefill.Most, r.AfterReturn.P99, r.Regained.P99, r.Pause.P99, r.Bar, r.Met, r.Machine.Load)
}
