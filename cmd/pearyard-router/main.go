// Command pearyard-router serves callers on an entry VM.
package main

import (
	"os"

	"github.com/pearyard/pearyard/daemon"
)

func main() { os.Exit(daemon.Router(os.Args, os.Stdout, os.Stderr)) }
