package limitbench

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

const defaultSeeds = 5

const (
	flagSeeds = "seeds"
	flagJSON  = "json"
)

// Command returns the CLI command that runs the benchmark.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "limit",
		Usage: "measure fairness and accuracy of limits, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: flagSeeds, Value: defaultSeeds, Usage: "number of seeds"},
			&cli.BoolFlag{Name: flagJSON, Usage: "print every run as JSON"},
		},
		Action: bench,
	}
}

func bench(c *cli.Context) error {
	return write(c.App.Writer, Run(max(1, c.Int(flagSeeds))), c.Bool(flagJSON))
}

// write writes the result as tables or as JSON.
func write(w io.Writer, result Result, asJSON bool) error {
	if !asJSON {
		result.Text(w)
		return nil
	}
	return errors.Wrap(json.NewEncoder(w).Encode(result), "limitbench: write the result")
}
