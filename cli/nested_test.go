package cli

import (
	"bytes"
	"context"
	"testing"

	"github.com/onsi/gomega"
	urfave "github.com/urfave/cli/v2"
)

// nested is a command with a command below it, each with a flag of its own.
func nested(got *[]string) *urfave.Command {
	return &urfave.Command{
		Name:  "outer",
		Flags: []urfave.Flag{&urfave.StringFlag{Name: "runs"}},
		Subcommands: []*urfave.Command{{
			Name:  "inner",
			Flags: []urfave.Flag{&urfave.StringFlag{Name: "mode"}},
			Action: func(c *urfave.Context) error {
				*got = append([]string{c.String("runs"), c.String("mode")}, c.Args().Slice()...)
				return nil
			},
		}},
	}
}

// A developer types `outer --runs 3 inner --mode m`. Flags were moved before
// arguments, the name of the inner command among them, so that the outer command
// was given the inner one's flags and refused them.
func TestFlagsOfCommandsBelowACommandStayWithThem(t *testing.T) {
	g := gomega.NewWithT(t)
	var got []string
	app := New(Options{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}})
	app.Commands = append(app.Commands, nested(&got))
	args := flagsFirst([]string{"p", "outer", "--runs", "3", "inner", "--mode", "m", "F"}, app.Commands)
	g.Expect(app.RunContext(context.Background(), args)).To(gomega.Succeed())
	g.Expect(got).To(gomega.Equal([]string{"3", "m", "F"}))
}

// A script that misspells a flag of an inner command is told so by the exit code,
// as for any other command.
func TestWrongFlagOfACommandBelowACommandIsWrongUse(t *testing.T) {
	g := gomega.NewWithT(t)
	var got []string
	opts := Options{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}, Bench: nested(&got)}
	g.Expect(Run(context.Background(), []string{"p", "outer", "inner", "--mood", "m"}, opts)).To(gomega.Equal(ExitUsage))
	g.Expect(Run(context.Background(), []string{"p", "outer", "inner", "--mode", "m"}, opts)).To(gomega.Equal(ExitOK))
	g.Expect(got).To(gomega.Equal([]string{"", "m"}))
}
