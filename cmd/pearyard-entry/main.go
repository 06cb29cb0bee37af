// Command pearyard-entry serves callers on an entry VM of the platform.
package main

import (
	"os"

	"github.com/pearyard/pearyard/entry"
)

func main() { os.Exit(entry.Main(os.Args, os.Stdout, os.Stderr)) }
