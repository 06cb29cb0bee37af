// Command pearyard is the operators' command line, and the developers' benches.
package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"

	"github.com/pearyard/pearyard/bench"
	_ "github.com/pearyard/pearyard/catalogue" // every event, for `pearyard events`
	"github.com/pearyard/pearyard/cli"
	"github.com/pearyard/pearyard/demo"
	"github.com/pearyard/pearyard/measure"
)

func main() {
	if code, was := measure.AsProgram(os.Args); was {
		os.Exit(code)
	}
	os.Exit(runCommand(os.Args, cli.Options{Demo: demo.Run, Bench: bench.Command()}))
}

// runCommand runs one command line until it ends or a signal comes.
func runCommand(args []string, opts cli.Options) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	code := cli.ExitInternal
	var group run.Group
	group.Add(func() error {
		code = cli.Run(ctx, args, opts)
		return nil
	}, func(error) { cancel() })
	group.Add(run.SignalHandler(ctx, os.Interrupt, syscall.SIGTERM))
	_ = group.Run() // the exit code says what came of the command
	return code
}
