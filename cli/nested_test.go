package cli

import (
	"bytes"
	"context"
	"testing"

	"github.com/onsi/gomega"
	urfave "github.com/urfave/cli/v2"
)

// nestedCommand returns a command with a subcommand, each with its own flag. The
// subcommand stores the values of both flags and its arguments in got.
func nestedCommand(got *[]string) *urfave.Command {
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

// `outer --runs 3 inner --mode m` used to fail: flags were moved before the arguments,
// including the name of the subcommand, so that the outer command got the
// subcommand's flags and refused them.
func TestFlagsOfSubcommandsStayWithThem(t *testing.T) {
	g := gomega.NewWithT(t)
	var got []string
	app := New(Options{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}})
	app.Commands = append(app.Commands, nestedCommand(&got))
	args := flagsFirst([]string{"p", "outer", "--runs", "3", "inner", "--mode", "m", "F"}, app.Commands)
	g.Expect(app.RunContext(context.Background(), args)).To(gomega.Succeed())
	g.Expect(got).To(gomega.Equal([]string{"3", "m", "F"}))
}

// A misspelled flag of a subcommand must give the exit code for wrong usage, as for
// any other command.
func TestWrongFlagOfASubcommandIsAUsageError(t *testing.T) {
	g := gomega.NewWithT(t)
	var got []string
	opts := Options{Stdout: &bytes.Buffer{}, Stderr: &bytes.Buffer{}, Bench: nestedCommand(&got)}
	g.Expect(Run(context.Background(), []string{"p", "outer", "inner", "--mood", "m"}, opts)).To(gomega.Equal(ExitUsage))
	g.Expect(Run(context.Background(), []string{"p", "outer", "inner", "--mode", "m"}, opts)).To(gomega.Equal(ExitOK))
	g.Expect(got).To(gomega.Equal([]string{"", "m"}))
}
