// Command pearyard-sidecar runs the sidecar of a backend server, on the same VM.
package main

import (
	"os"

	"github.com/pearyard/pearyard/daemon"
)

func main() { os.Exit(daemon.Sidecar(os.Args, os.Stdout, os.Stderr)) }
