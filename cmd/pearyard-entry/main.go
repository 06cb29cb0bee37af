// Command pearyard-entry serves callers on an entry VM of the platform. It reaches the
// backend servers directly; pearyard-router is the program of sites whose backend servers
// have sidecars.
package main

import (
	"os"

	"github.com/pearyard/pearyard/entry"
)

func main() { os.Exit(entry.Main(os.Args, os.Stdout, os.Stderr)) }
