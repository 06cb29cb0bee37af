// Command pearyard-router serves callers on an entry VM of a site whose backend servers
// have sidecars (command pearyard-sidecar).
package main

import (
	"os"

	"github.com/pearyard/pearyard/daemon"
)

func main() { os.Exit(daemon.Router(os.Args, os.Stdout, os.Stderr)) }
