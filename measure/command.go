package measure

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/text"
)

const (
	flagBin  = "bin"
	flagRuns = "runs"
	flagJSON = "json"
)

// Command returns the command `measure` with a subcommand per measurement.
func Command() *cli.Command {
	return &cli.Command{
		Name: "measure", Usage: "measure a site of real processes on loopback ports",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagBin, Usage: "directory of the programs under test; empty: run this binary as each of them"},
			&cli.IntFlag{Name: flagRuns, Value: 5, Usage: "number of runs per case"},
			&cli.StringFlag{Name: flagJSON, Usage: "file to which the result is written as JSON"},
		},
		Subcommands: []*cli.Command{resumeCommand(), dialCommand(), streamCommand(), configCommand(), leaveCommand(), idleCommand()},
	}
}

// report writes the result to the file that --json names, if any.
func report(c *cli.Context, result any) error {
	if c.String(flagJSON) == "" {
		return nil
	}
	raw, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.String(flagJSON), append(raw, '\n'), 0o644)
}

func resumeCommand() *cli.Command {
	def := DefaultResume()
	return &cli.Command{
		Name: "resume", Usage: "time until a caller's answer continues after a loss, and the cost of the loss",
		Flags: append(recoveryFlags(),
			&cli.StringSliceFlag{Name: "cause", Usage: "cause of the loss; none means all"},
			&cli.StringSliceFlag{Name: "mode", Usage: "system, start-over or plain; none means all"},
			&cli.IntFlag{Name: "calls", Value: def.Load.Calls, Usage: "concurrent generations"},
			&cli.IntFlag{Name: "engines", Value: def.Engines, Usage: "engines, each with a sidecar"},
		),
		Action: func(c *cli.Context) error {
			opts := def
			opts.Bin, opts.Runs, opts.Progress = c.String(flagBin), c.Int(flagRuns), c.App.Writer
			opts.Load.Calls, opts.Engines = c.Int("calls"), c.Int("engines")
			opts.Recovery = recoveryOf(c)
			if names := c.StringSlice("cause"); len(names) > 0 {
				opts.Causes = convertNames[Cause](names)
			}
			if names := c.StringSlice("mode"); len(names) > 0 {
				opts.Modes = convertNames[Mode](names)
			}
			for _, cause := range opts.Causes {
				if !slices.Contains(Causes, cause) {
					return errors.Errorf("unknown cause %q", cause)
				}
			}
			result, err := Resume(c.Context, opts)
			return errors.Wrap(firstError(report(c, result), err), "resume")
		},
	}
}

func streamCommand() *cli.Command {
	def := DefaultStream()
	return &cli.Command{
		Name: "stream", Usage: "latency that a router adds per token, and CPU time per token",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "streams", Value: cli.NewIntSlice(def.Streams...), Usage: "concurrent streams"},
			&cli.DurationFlag{Name: "step", Value: def.Step, Usage: "time between two tokens of a stream"},
			&cli.DurationFlag{Name: "duration", Value: def.Duration, Usage: "duration of a round"},
			&cli.BoolFlag{Name: "direct", Value: def.Direct, Usage: "also run the same number of streams from the engines directly, for comparison"},
		},
		Action: func(c *cli.Context) error {
			opts := def
			opts.Bin, opts.Runs, opts.Progress = c.String(flagBin), c.Int(flagRuns), c.App.Writer
			opts.Streams, opts.Step, opts.Duration, opts.Direct = c.IntSlice("streams"), c.Duration("step"), c.Duration("duration"), c.Bool("direct")
			result, err := Stream(c.Context, opts)
			return errors.Wrap(firstError(report(c, result), err), "stream")
		},
	}
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "time until a configuration is in force everywhere while operators apply changes concurrently",
		Flags: []cli.Flag{&cli.IntFlag{Name: "texts", Value: 5, Usage: "configurations that each operator tries to apply per run"}},
		Action: func(c *cli.Context) error {
			var results []ConfigResult
			for range c.Int(flagRuns) {
				result, err := Configure(c.Context, c.String(flagBin), c.Int("texts"), c.App.Writer)
				if err != nil {
					return errors.Wrap(err, "config")
				}
				results = append(results, result)
			}
			return report(c, results)
		},
	}
}

func leaveCommand() *cli.Command {
	return &cli.Command{
		Name: "leave", Usage: "time until a leaving backend server gets no new work",
		Action: func(c *cli.Context) error {
			result, err := Leave(c.Context, c.String(flagBin), c.Int(flagRuns), c.App.Writer)
			return errors.Wrap(firstError(report(c, result), err), "leave")
		},
	}
}

func idleCommand() *cli.Command {
	return &cli.Command{
		Name: "idle", Usage: "traffic, CPU time and memory of a site without requests",
		Flags: []cli.Flag{&cli.IntFlag{Name: "engines", Value: 12, Usage: "engines, each with a sidecar"}},
		Action: func(c *cli.Context) error {
			result, err := Idle(c.Context, c.String(flagBin), c.Int("engines"), c.App.Writer)
			return errors.Wrap(firstError(report(c, result), err), "idle")
		},
	}
}

func dialCommand() *cli.Command {
	return &cli.Command{
		Name: "dial", Usage: "resume latency and additional resource use for a range of recovery settings",
		Action: func(c *cli.Context) error {
			opts := DefaultResume()
			opts.Bin, opts.Runs, opts.Progress = c.String(flagBin), c.Int(flagRuns), c.App.Writer
			result, err := Dial(c.Context, opts)
			return errors.Wrap(firstError(report(c, result), err), "dial")
		},
	}
}

// convertNames converts strings to a named string type.
func convertNames[T ~string](names []string) []T {
	var out []T
	for _, name := range names {
		out = append(out, T(name))
	}
	return out
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// recoveryFlags returns the flags for the recovery settings of the sites.
func recoveryFlags() []cli.Flag {
	def := text.DefaultRecovery()
	return []cli.Flag{
		&cli.IntFlag{Name: "journal-after", Value: def.JournalAfterMillis, Usage: "journalAfterMillis"},
		&cli.IntFlag{Name: "journal-peers", Value: def.JournalPeers, Usage: "journalPeers"},
		&cli.IntFlag{Name: "journal-batch", Value: def.JournalBatchMillis, Usage: "journalBatchMillis"},
		&cli.IntFlag{Name: "silence", Value: def.SilenceMillis, Usage: "silenceMillis"},
	}
}

// recoveryOf returns the recovery settings that the flags of recoveryFlags have.
func recoveryOf(c *cli.Context) text.Recovery {
	out := text.DefaultRecovery()
	out.JournalAfterMillis, out.JournalPeers = c.Int("journal-after"), c.Int("journal-peers")
	out.JournalBatchMillis, out.SilenceMillis = c.Int("journal-batch"), c.Int("silence")
	return out
}
