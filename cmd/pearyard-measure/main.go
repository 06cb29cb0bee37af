// Command pearyard-measure measures a site of real processes on loopback ports.
package main

import (
	"os"

	"github.com/pearyard/pearyard/measure"
)

func main() {
	if code, was := measure.AsProgram(os.Args); was {
		os.Exit(code)
	}
	os.Exit(measure.Main(os.Args, os.Stdout, os.Stderr))
}
