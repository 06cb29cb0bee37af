// Package command implements the command line of pearyard-standin, which runs a
// stand-in model engine, plain service or platform in a process of its own.
package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/standin"
)

// CrashStatus is the exit status of an engine that a poisoned request crashed.
const CrashStatus = 3

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	app := &cli.App{
		Name:     "pearyard-standin",
		Usage:    "run a stand-in for a model engine, a plain service or the platform",
		Commands: []*cli.Command{engineCommand(), plainCommand(), platformCommand()},
	}
	if err := app.Run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine; a prompt that contains POISON crashes it",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{Name: "model", Usage: "model served from the start; none means any"},
			&cli.DurationFlag{Name: "step-base", Usage: "duration of a decoding step"},
			&cli.DurationFlag{Name: "step-per-request", Usage: "added to a step for each request in the batch"},
			&cli.DurationFlag{Name: "prefill-per-token", Usage: "added to a step for each uncached prompt token"},
			&cli.IntFlag{Name: "capacity", Usage: "requests in a batch"},
			&cli.IntFlag{Name: "max-queue", Usage: "requests waiting for the batch"},
			&cli.IntFlag{Name: "cache-blocks", Usage: "blocks in the prefix cache"},
			&cli.DurationFlag{Name: "cache-event-delay", Usage: "delay before a cache event becomes visible"},
			&cli.Float64Flag{Name: "cache-event-loss", Usage: "fraction of cache events that are lost"},
			&cli.DurationFlag{Name: "load-lag", Usage: "age of load reports"},
			&cli.BoolFlag{Name: "check-fence", Usage: "refuse orders with an old fencing number"},
			&cli.IntFlag{Name: "stop-after", Usage: "tokens after which a generation stops; 0 means never"},
			&cli.IntFlag{Name: "poison-after", Usage: "tokens that a poisoned request gets before the crash"},
		},
		Action: func(c *cli.Context) error { return serve(c.String("listen"), standin.NewEngine(engineOptions(c))) },
	}
}

func engineOptions(c *cli.Context) standin.EngineOptions {
	return standin.EngineOptions{
		Models:          c.StringSlice("model"),
		StepBase:        c.Duration("step-base"),
		StepPerRequest:  c.Duration("step-per-request"),
		PrefillPerToken: c.Duration("prefill-per-token"),
		Capacity:        c.Int("capacity"),
		MaxQueue:        c.Int("max-queue"),
		CacheBlocks:     c.Int("cache-blocks"),
		CacheEventDelay: c.Duration("cache-event-delay"),
		CacheEventLoss:  c.Float64("cache-event-loss"),
		LoadLag:         c.Duration("load-lag"),
		CheckFence:      c.Bool("check-fence"),
		StopAfter:       c.Int("stop-after"),
		PoisonAfter:     c.Int("poison-after"),
		OnCrash:         func() { os.Exit(CrashStatus) },
	}
}

func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "run a plain service that counts the calls it has run",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "latency", Usage: "time before a call takes effect"},
		},
		Action: func(c *cli.Context) error {
			return serve(c.String("listen"), standin.NewPlain(standin.PlainOptions{Latency: c.Duration("latency")}))
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the platform: table service, object store, VM list and weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "writes", Usage: "rows and objects written per second"},
			&cli.IntFlag{Name: "reads", Usage: "reads per second"},
			&cli.IntFlag{Name: "weight-reads", Usage: "calls to the weight store per second"},
			&cli.DurationFlag{Name: "vm-lag", Usage: "age of the VM list"},
		},
		Action: func(c *cli.Context) error {
			return serve(c.String("listen"), standin.NewPlatform(standin.PlatformOptions{
				Writes:      c.Int("writes"),
				Reads:       c.Int("reads"),
				WeightReads: c.Int("weight-reads"),
				VMLag:       c.Duration("vm-lag"),
			}))
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP:port to listen on; port 0 takes a free one"}
}

// serve prints the listen address and serves until the process gets a signal.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	group.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	fmt.Println("listening", listener.Addr())
	return ignoreSignal(group.Run())
}

// ignoreSignal returns nil for a stop by a signal, which is a regular end.
func ignoreSignal(err error) error {
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
