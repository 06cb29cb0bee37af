// Command pearyard is the operators' command line. It also runs the developers'
// benchmarks.
package main

import (
	"context"
	"os"
	"syscall"

	"github.com/oklog/run"

	"github.com/pearyard/pearyard/bench"
	_ "github.com/pearyard/pearyard/catalogue" // registers every event for `pearyard events`
	"github.com/pearyard/pearyard/cli"
	"github.com/pearyard/pearyard/demo"
	"github.com/pearyard/pearyard/measure"
)

func main() {
	// `pearyard bench measure` starts this binary under the names of the programs that it measures.
	if code, ran := measure.AsProgram(os.Args); ran {
		os.Exit(code)
	}
	os.Exit(runCommand(os.Args, cli.Options{Demo: demo.Run, Bench: bench.Command()}))
}

// runCommand runs one command line until it ends or the process gets a signal.
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
	_ = group.Run() // the exit code tells the outcome of the command
	return code
}
