// Command pearyard-standin runs one of the systems that lie outside pearyard,
// for scenarios and the demo: a model engine, a plain service or the platform.
package main

import (
	"os"

	"github.com/pearyard/pearyard/standin/command"
)

func main() { os.Exit(command.Main(os.Args)) }
