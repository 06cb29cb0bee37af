package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/platform"
)

const (
	flagCheck       = "check"
	flagSettings    = "settings"
	flagCheckConfig = "check-configuration"
)

// Exit codes: exitFindings means that what was checked has errors.
const (
	exitFailed   = 1
	exitFindings = 3
)

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	// The platform announces changed settings by SIGHUP. Settings don't change while
	// a process runs, and the default action of the signal would end it. It may come
	// right after the process has started, so it is ignored before all else.
	signal.Ignore(syscall.SIGHUP)
	event.SurviveClosedOutput()
	code := 0
	app := &cli.App{
		Name:  "pearyard-entry",
		Usage: "serves callers on an entry VM of the platform; settings come from the file named by " + platform.SettingsVariable,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagCheck, Aliases: []string{"print-settings"}, Usage: "check the settings, print them as JSON and exit: 0 if they are good, 3 if not"},
			&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` in place of the one that " + platform.SettingsVariable + " names"},
			&cli.StringFlag{Name: flagCheckConfig, Usage: "check the configuration in `FILE` before it is written to the store and exit: 0 if entry VMs take it, 3 if not"},
		},
		Writer: stdout, ErrWriter: stderr,
		Action: func(c *cli.Context) error {
			var err error
			code, err = runCommand(c, stdout, stderr)
			return err
		},
	}
	if err := app.Run(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return code
}

// checkConfig prints the errors and warnings of a configuration file.
func checkConfig(path string, stdout io.Writer) (int, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return exitFailed, errors.Wrap(err, "entry: read configuration file")
	}
	found := platform.CheckConfig(raw)
	if len(found) > 0 {
		fmt.Fprintln(stdout, found.String())
	}
	if found.HasErrors() {
		return exitFindings, nil
	}
	return 0, nil
}

// runCommand checks a configuration or the settings, as the flags say, or serves.
func runCommand(c *cli.Context, stdout, stderr io.Writer) (int, error) {
	if path := c.String(flagCheckConfig); path != "" {
		return checkConfig(path, stdout)
	}
	settings, found, err := platform.LoadSettings(c.String(flagSettings))
	if err != nil {
		return exitFailed, err
	}
	if found.HasErrors() {
		fmt.Fprintln(stderr, found.String())
		return exitFindings, nil
	}
	if c.Bool(flagCheck) {
		out := json.NewEncoder(stdout)
		out.SetIndent("", "  ")
		return 0, out.Encode(settings)
	}
	// A signal that comes once the process listens must not reset what is in its queue.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Callers that come back after a loss of all VMs find no process listening until here,
	// and try only once or twice: nothing that takes time comes before.
	callers, err := net.Listen("tcp4", settings.Callers)
	if err != nil {
		return exitFailed, errors.Wrap(err, "entry: listen")
	}
	defer callers.Close()
	queue := event.NewQueue(stdout, event.DefaultQueueLines)
	defer queue.Close()
	e, err := New(Options{Settings: settings, Callers: callers, Logger: queue, Dropped: queue.Dropped})
	if err != nil {
		return exitFailed, err
	}
	return 0, e.Run(ctx)
}
