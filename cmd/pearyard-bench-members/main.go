// Command pearyard-bench-members measures membership over loopback sockets, all
// members in one process: JSON lines on standard output, a table on standard error.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/membership/memberbench"
)

func main() {
	app := &cli.App{
		Name:  "pearyard-bench-members",
		Usage: "measure membership: bytes and processor time a member, time until all know",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "members", Value: cli.NewIntSlice(10, 40, 160, 640), Usage: "sizes to measure"},
			&cli.DurationFlag{Name: "window", Value: 30 * time.Second, Usage: "how long a quiet site is watched"},
			&cli.IntFlag{Name: "rounds", Value: 4, Usage: "deaths, stops and revisions at each size"},
		},
		Action: run,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	opts := memberbench.Options{Sizes: c.IntSlice("members"), Window: c.Duration("window"), Rounds: c.Int("rounds")}
	if err := memberbench.WriteHeader(os.Stderr); err != nil {
		return err
	}
	return memberbench.Run(c.Context, opts, func(r memberbench.Result) {
		_ = memberbench.WriteJSON(os.Stdout, r)
		_ = memberbench.WriteText(os.Stderr, r)
	})
}
