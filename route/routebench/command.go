package routebench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

// Command returns the CLI command of the benchmark.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "route",
		Usage: "measure routing policies over modelled runners, in virtual time",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "runners", Value: cli.NewIntSlice(36, 24), Usage: "sizes to measure"},
			&cli.IntFlag{Name: "routers", Value: 3},
			&cli.Float64Flag{Name: "rate", Value: steadyRate, Usage: "requests a second for each runner"},
			&cli.IntFlag{Name: "seeds", Value: 5},
			&cli.StringSliceFlag{Name: "case", Usage: "only these cases"},
			&cli.StringFlag{Name: "json", Usage: "write the figures to this file"},
			&cli.IntFlag{Name: "organisations", Value: 10},
			&cli.IntFlag{Name: "subset", Usage: "candidates in a router's view; 0: all"},
			&cli.IntFlag{Name: "groups", Usage: "groups of routers with the same subset; 0: each its own"},
			&cli.StringSliceFlag{Name: "variant", Usage: "only these variants"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "runs at a time"},
		},
		Action: runBenchmark,
	}
}

// row holds the results of one variant under one fault: median, minimum and
// maximum over the seeds.
type row struct {
	Runners int     `json:"runners"`
	Case    string  `json:"case"`
	Variant string  `json:"variant"`
	Median  figures `json:"median"`
	Least   figures `json:"least"`
	Most    figures `json:"most"`
}

func runBenchmark(ctx *cli.Context) error {
	var rows []row
	for _, runners := range ctx.IntSlice("runners") {
		for _, c := range cases(ctx.Float64("rate")) {
			if only := ctx.StringSlice("case"); len(only) > 0 && !slices.Contains(only, string(c.options.fault)) {
				continue
			}
			if only := ctx.StringSlice("variant"); len(only) > 0 && !slices.Contains(only, c.name) {
				continue
			}
			c.options.runners = runners
			c.options.organisations = ctx.Int("organisations")
			c.options.subset = ctx.Int("subset")
			c.options.groups = ctx.Int("groups")
			c.options.routers = ctx.Int("routers")
			r, err := measure(c, ctx.Int("seeds"), ctx.Int("parallel"))
			if err != nil {
				return err
			}
			rows = append(rows, r)
		}
	}
	writeTable(ctx.App.Writer, rows)
	return writeJSON(ctx.String("json"), rows)
}

func measure(c variant, seeds, parallel int) (row, error) {
	all := make([]figures, seeds)
	failed := make([]error, seeds)
	slots := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			opts := c.options
			opts.seed = uint64(i + 1)
			r, err := run(opts)
			if err != nil {
				failed[i] = err
				return
			}
			all[i] = r.figures()
		})
	}
	wg.Wait()
	for i, err := range failed {
		if err != nil {
			return row{}, errors.Wrapf(err, "variant %q, seed %d", c.name, i+1)
		}
	}
	r := row{Runners: c.options.runners, Case: string(c.options.fault), Variant: c.name}
	r.Least, r.Median, r.Most = summarise(all)
	return r, nil
}

func writeJSON(path string, rows []row) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write results")
}

func writeTable(w io.Writer, rows []row) {
	last := ""
	for _, r := range rows {
		if title := fmt.Sprintf("%d runners, %s", r.Runners, r.Case); title != last {
			last = title
			fmt.Fprintf(w, "\n%s\n%-34s %15s %9s %6s %15s %15s %6s %5s %7s %6s %6s %6s %6s\n", title, "variant",
				"hit rate", "prefill k", "p50 ms", "p95 ms", "p99 ms", "gap99", "max/m", "affectd", "peak", "sent/a", "shed", "done")
		}
		m, lo, hi := r.Median, r.Least, r.Most
		fmt.Fprintf(w, "%-34s %.3f %.3f-%.3f %9.0f %6.0f %6.0f %4.0f-%4.0f %6.0f %4.0f-%4.0f %6.0f %5.2f %7.4f %6.2f %6.3f %6.0f %6.0f\n",
			r.Variant, m.HitRate, lo.HitRate, hi.HitRate, m.PrefilledTokens/1000, m.FirstP50,
			m.FirstP95, lo.FirstP95, hi.FirstP95, m.FirstP99, lo.FirstP99, hi.FirstP99,
			m.GapP99, m.MaxOverMean, m.AffectedShare, m.AffectedPeak, m.SentPerRequest, m.Shed, m.Done)
	}
}
