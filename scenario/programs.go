package scenario

import (
	"context"
	"io"
	"os"

	_ "github.com/pearyard/pearyard/catalogue" // registers all events, for `pearyard events`
	"github.com/pearyard/pearyard/cli"
	"github.com/pearyard/pearyard/daemon"
	"github.com/pearyard/pearyard/standin/command"
)

// Names of the programs of a site.
const (
	programRouter  = "pearyard-router"
	programSidecar = "pearyard-sidecar"
	programStandin = "pearyard-standin"
	programCLI     = "pearyard"
)

// Programs returns the programs as which the test binary runs when it is started under
// their names. It is meant for testscript.Main.
func Programs() map[string]func() {
	return map[string]func(){
		programRouter:  func() { exitWithParent(); os.Exit(daemon.Router(os.Args, os.Stdout, os.Stderr)) },
		programSidecar: func() { exitWithParent(); os.Exit(daemon.Sidecar(os.Args, os.Stdout, os.Stderr)) },
		programStandin: func() { exitWithParent(); os.Exit(command.Main(os.Args)) },
		programCLI:     func() { os.Exit(cli.Run(context.Background(), os.Args, cli.Options{})) },
	}
}

// exitWithParent exits when the standard input is closed. The test process holds its
// other end, so no process is left behind if the test is killed.
func exitWithParent() {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
}
