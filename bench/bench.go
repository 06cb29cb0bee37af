package bench

import (
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/limit/limitbench"
	"github.com/pearyard/pearyard/measure"
	"github.com/pearyard/pearyard/membership/memberbench"
	"github.com/pearyard/pearyard/route/routebench"
)

// Command returns the command `bench` with a subcommand per benchmark.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "benchmark pearyard: policies and limits in virtual time, membership and whole sites on loopback",
		Subcommands: []*cli.Command{
			routebench.Command(),
			limitbench.Command(),
			memberbench.Command(),
			measure.Command(),
		},
	}
}
