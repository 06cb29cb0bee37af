package bench

import (
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/limit/limitbench"
	"github.com/pearyard/pearyard/measure"
	"github.com/pearyard/pearyard/membership/memberbench"
	"github.com/pearyard/pearyard/route/routebench"
)

// Command returns `bench` with a subcommand a bench.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure pearyard itself: policies and limits in virtual time, members and whole sites on loopback",
		Subcommands: []*cli.Command{
			routebench.Command(),
			limitbench.Command(),
			memberbench.Command(),
			measure.Command(),
		},
	}
}
