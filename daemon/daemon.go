package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/backing/httpapi"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/findings"
	"github.com/pearyard/pearyard/node"
	"github.com/pearyard/pearyard/settings"
)

// Exit codes of the daemons.
const (
	ExitFailed   = 1 // the daemon could not start, or ended with an error
	ExitFindings = 3 // the settings have errors
)

const (
	flagSettings      = "settings"
	flagPrintSettings = "print-settings"
	// staleCheckDisabled is the value of node.Common.StaleAfter that disables the check.
	staleCheckDisabled = -1
)

// Spec describes one daemon.
type Spec struct {
	Name     string
	Usage    string
	Defaults any // pointer to the settings struct, for the flags
	// Start loads the settings and returns a pointer to them, the findings, and the
	// function that runs the daemon.
	Start func(settings.Sources) (loaded any, found findings.List, serve func(context.Context, log.Logger) error)
	Level func(loaded any) string // log level of the loaded settings
}

// Main runs a daemon and returns its exit code.
func Main(spec Spec, args []string, stdout, stderr io.Writer) int {
	code := 0
	flags := append(settings.Flags(spec.Defaults),
		&cli.StringFlag{Name: flagSettings, Usage: "JSON file with settings", EnvVars: []string{settings.EnvPrefix + "SETTINGS"}},
		&cli.BoolFlag{Name: flagPrintSettings, Usage: "print the settings in force, secrets masked, and exit"})
	app := &cli.App{Name: spec.Name, Usage: spec.Usage, Flags: flags, Writer: stdout, ErrWriter: stderr, Action: func(c *cli.Context) error {
		sources := settings.Sources{File: c.String(flagSettings), Env: os.LookupEnv, Flags: c}
		loaded, found, serve := spec.Start(sources)
		if c.Bool(flagPrintSettings) {
			_, _ = stdout.Write(settings.Print(loaded))
		}
		if len(found) > 0 {
			fmt.Fprintln(stderr, found.String())
		}
		if found.HasErrors() {
			code = ExitFindings
			return nil
		}
		if c.Bool(flagPrintSettings) {
			return nil
		}
		event.SurviveClosedOutput()
		queue := event.NewQueue(stderr, event.DefaultQueueLines)
		defer queue.Close()
		return runUntilSignal(func(ctx context.Context) error { return serve(ctx, newLogger(queue, spec.Level(loaded))) })
	}}
	if err := app.Run(args); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return code
}

// runUntilSignal runs serve. The first signal begins a planned stop by cancelling its
// context, and a second one ends the process immediately. Signals are handled before serve
// begins to listen: the default action would reset the connections in its queue.
func runUntilSignal(serve func(context.Context) error) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx) }()
	for first := true; ; first = false {
		select {
		case err := <-ended:
			return err
		case <-signals:
		}
		if !first {
			return errors.New("stopped immediately by a second signal")
		}
		stop()
	}
}

// newLogger returns a logger for entries of the named level and above, or of level info and
// above if there is no such level.
func newLogger(queue *event.Queue, levelName string) log.Logger {
	return level.NewFilter(queue, level.Allow(level.ParseDefault(levelName, level.InfoValue())))
}

// Listen opens a TCP listener on an ip:port; port 0 selects a free one.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Common builds the options that routers and sidecars share, and opens the listener for
// other processes.
func Common(s settings.Common, logger log.Logger) (node.Common, error) {
	peers, err := Listen(s.PeerListen)
	if err != nil {
		return node.Common{}, err
	}
	stale := s.StaleAfter()
	if stale == 0 {
		stale = staleCheckDisabled
	}
	return node.Common{
		ID: s.ID, Zone: s.Zone, Peers: peers, Advertise: s.Advertise, Seeds: s.Seeds, Platform: platformClients(s),
		Logger: logger, RingSize: s.EventRing, Poll: s.Poll(), Drain: s.Drain(), StaleAfter: stale,
		VMListLag: s.VMListLag(),
	}, nil
}

func platformClients(s settings.Common) node.Platform {
	p := node.Platform{
		Table:   httpapi.NewTable(httpapi.Options{Address: s.Table}),
		Objects: httpapi.NewObjects(httpapi.Options{Address: s.Objects}),
	}
	if s.VMList != "" {
		p.VMs = httpapi.NewVMList(httpapi.Options{Address: s.VMList})
	}
	if s.Weights != "" {
		p.Weights = httpapi.NewWeights(httpapi.Options{Address: s.Weights})
	}
	return p
}
