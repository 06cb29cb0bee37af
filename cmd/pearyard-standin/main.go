// Command pearyard-standin runs a stand-in for an external system in scenarios and
// measurements: a model engine, a plain service or the platform.
package main

import (
	"os"

	"github.com/pearyard/pearyard/standin/command"
)

func main() { os.Exit(command.Main(os.Args)) }
