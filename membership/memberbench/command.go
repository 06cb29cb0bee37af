package memberbench

import (
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

const (
	flagMembers = "members"
	flagWindow  = "window"
	flagRounds  = "rounds"

	defaultWindow = 30 * time.Second
	defaultRounds = 4
)

// Command returns the CLI command of the benchmark. It writes JSON lines to
// standard output and a table to standard error.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "members",
		Usage: "measure membership: bytes and processor time a member, time until all know",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: flagMembers, Value: cli.NewIntSlice(10, 40, 160, 640), Usage: "sizes to measure"},
			&cli.DurationFlag{Name: flagWindow, Value: defaultWindow, Usage: "how long a quiet site is watched"},
			&cli.IntFlag{Name: flagRounds, Value: defaultRounds, Usage: "deaths, stops and revisions at each size"},
		},
		Action: runBenchmark,
	}
}

func runBenchmark(c *cli.Context) error {
	opts := Options{Sizes: c.IntSlice(flagMembers), Window: c.Duration(flagWindow), Rounds: c.Int(flagRounds)}
	if err := WriteHeader(c.App.ErrWriter); err != nil {
		return errors.Wrap(err, "memberbench: write the table")
	}
	var failed error
	err := Run(c.Context, opts, func(r Result) {
		if err := writeResult(c, r); err != nil && failed == nil {
			failed = err
		}
	})
	if err != nil {
		return err
	}
	return errors.Wrap(failed, "memberbench: write a result")
}

func writeResult(c *cli.Context, r Result) error {
	if err := WriteJSON(c.App.Writer, r); err != nil {
		return err
	}
	return WriteText(c.App.ErrWriter, r)
}
