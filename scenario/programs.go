package scenario

import (
	"context"
	"io"
	"os"

	_ "github.com/pearyard/pearyard/catalogue" // every event, for `pearyard events`
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

// Programs lists what the test binary is when it is started under these names;
// it is given to testscript.Main.
func Programs() map[string]func() {
	return map[string]func(){
		programRouter:  func() { endWithParent(); os.Exit(daemon.Router(os.Args, os.Stdout, os.Stderr)) },
		programSidecar: func() { endWithParent(); os.Exit(daemon.Sidecar(os.Args, os.Stdout, os.Stderr)) },
		programStandin: func() { endWithParent(); os.Exit(command.Main(os.Args)) },
		programCLI:     func() { os.Exit(cli.Run(context.Background(), os.Args, cli.Options{})) },
	}
}

// endWithParent stops processes from being left behind by a test that was
// killed: the harness holds the other end of the standard input.
func endWithParent() {
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
}
