package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/admin"
	"github.com/pearyard/pearyard/inspect"
)

// Options of New. Unset streams default to those of the process, and HTTP to a new
// client.
type Options struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	HTTP   *http.Client
	// Demo runs the demo; if nil, there is no such command.
	Demo func(ctx context.Context, stdout io.Writer) error
	// Bench is the command that measures pearyard itself; if nil, there is none.
	Bench *urfave.Command
}

// Names of the flags that all or most commands have.
const (
	flagAdmin   = "admin"
	flagToken   = "token"
	flagTimeout = "timeout"
	flagOutput  = "output"
	flagWho     = "who"
)

// Environment variables of the flags.
const (
	EnvAdmin = "PEARYARD_ADMIN"
	EnvToken = "PEARYARD_ADMIN_TOKEN"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultTimeout limits one call to one router.
const defaultTimeout = 10 * time.Second

// program holds what all commands share.
type program struct {
	opts Options
}

// New returns the command line as an app. A main function calls Run instead.
func New(opts Options) *urfave.App {
	if opts.Stdin == nil {
		opts.Stdin = os.Stdin
	}
	if opts.Stdout == nil {
		opts.Stdout = os.Stdout
	}
	if opts.Stderr == nil {
		opts.Stderr = os.Stderr
	}
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{}
	}
	p := &program{opts: opts}
	return &urfave.App{
		Name:                 "pearyard",
		Usage:                "operate a pearyard site",
		Version:              version(),
		Reader:               opts.Stdin,
		Writer:               opts.Stdout,
		ErrWriter:            opts.Stderr,
		EnableBashCompletion: true,
		Commands:             p.commands(),
		CommandNotFound:      nil,
		ExitErrHandler:       func(*urfave.Context, error) {}, // Run maps errors to exit codes
		Action:               unknownCommand,
	}
}

func version() string {
	build := inspect.BuildVersion()
	return fmt.Sprintf("%s %s %s", build.Build, build.Commit, build.Go)
}

// unknownCommand refuses an unknown command; without arguments it prints the help.
func unknownCommand(c *urfave.Context) error {
	if c.Args().Present() {
		return usageErrorf("no command %q; see pearyard help", c.Args().First())
	}
	return urfave.ShowAppHelp(c)
}

// Run runs the command line args, which begins with the program's name, and returns
// the exit code. Errors are written to Stderr.
func Run(ctx context.Context, args []string, opts Options) int {
	app := New(opts)
	err := app.RunContext(ctx, flagsFirst(args, app.Commands))
	if err == nil {
		return ExitOK
	}
	if message := err.Error(); message != "" {
		_, _ = fmt.Fprintln(app.ErrWriter, "pearyard:", message)
	}
	return exitCode(err)
}

func (p *program) commands() []*urfave.Command {
	commands := []*urfave.Command{
		p.checkCommand(),
		p.applyCommand(),
		p.getCommand(),
		p.historyCommand(),
		p.diffCommand(),
		p.statusCommand(),
		p.stopCommand(),
		p.dumpCommand(),
		p.explainCommand(),
		p.bundleCommand(),
		p.eventsCommand(),
	}
	if p.opts.Demo != nil {
		commands = append(commands, p.demoCommand())
	}
	if p.opts.Bench != nil {
		commands = append(commands, p.opts.Bench)
	}
	setUsageErrors(commands)
	return commands
}

// setUsageErrors sets the exit code of wrong flags for all commands and subcommands.
func setUsageErrors(commands []*urfave.Command) {
	for _, command := range commands {
		command.OnUsageError = func(_ *urfave.Context, err error, _ bool) error { return usageErrorf("%s", err) }
		setUsageErrors(command.Subcommands)
	}
}

func (p *program) demoCommand() *urfave.Command {
	return &urfave.Command{
		Name:   "demo",
		Usage:  "run a site with simulated engines and platform in this process and show a failure",
		Flags:  outputFlags(),
		Before: checkOutput,
		Action: func(c *urfave.Context) error { return p.opts.Demo(c.Context, c.App.Writer) },
	}
}

// outputFlags are the flags of every command.
func outputFlags(more ...urfave.Flag) []urfave.Flag {
	return append(more, &urfave.StringFlag{Name: flagOutput, Aliases: []string{"O"}, Value: outputText, Usage: "text or json"})
}

// remoteFlags are the flags of commands that call a router.
func remoteFlags(more ...urfave.Flag) []urfave.Flag {
	return outputFlags(append(more,
		&urfave.StringSliceFlag{Name: flagAdmin, EnvVars: []string{EnvAdmin}, Usage: "administration `ADDRESS`es of routers; the next is called when one is unavailable"},
		&urfave.StringFlag{Name: flagToken, EnvVars: []string{EnvToken}, Usage: "bearer token; prefer the environment variable, since flags are visible in the process list"},
		&urfave.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "maximum time of one call of one router"},
	)...)
}

// whoFlag names the operator. The API has one token for all operators, so the name is
// not authenticated.
func whoFlag() urfave.Flag {
	return &urfave.StringFlag{Name: flagWho, EnvVars: []string{"PEARYARD_WHO", "USER"}, Value: "operator", Usage: "name of the operator, for the history"}
}

func checkOutput(c *urfave.Context) error {
	switch c.String(flagOutput) {
	case outputText, outputJSON:
		return nil
	default:
		return usageErrorf("--%s is %q; it is %s or %s", flagOutput, c.String(flagOutput), outputText, outputJSON)
	}
}

// arguments returns the arguments if there is exactly one per name, or else a usage
// error.
func arguments(c *urfave.Context, names ...string) ([]string, error) {
	if c.NArg() != len(names) {
		return nil, usageErrorf("%s takes %d arguments %v, got %d", c.Command.Name, len(names), names, c.NArg())
	}
	return c.Args().Slice(), nil
}

// maxFileBytes is the maximum size of a configuration read from a file or standard
// input.
const maxFileBytes = admin.MaxConfigBytes

// readFile reads a file; "-" is standard input.
func (p *program) readFile(name string) ([]byte, error) {
	in := p.opts.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, usageErrorf("%s", err)
		}
		defer file.Close()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	if len(raw) > maxFileBytes {
		return nil, usageErrorf("%s is over %d bytes", name, maxFileBytes)
	}
	return raw, nil
}
