package limitbench

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v2"
)

const defaultSeeds = 5

const (
	flagSeeds = "seeds"
	flagJSON  = "json"
)

// Command returns the bench as a command of a command line.
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
	result := Run(max(1, c.Int(flagSeeds)))
	if !c.Bool(flagJSON) {
		result.Text(c.App.Writer)
		return nil
	}
	return errors.Wrap(json.NewEncoder(c.App.Writer).Encode(result), "limitbench: write the result")
}
