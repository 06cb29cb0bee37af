// Command pearyard-sidecar guards the backend server beside it.
package main

import (
	"os"

	"github.com/pearyard/pearyard/daemon"
)

func main() { os.Exit(daemon.Sidecar(os.Args, os.Stdout, os.Stderr)) }
