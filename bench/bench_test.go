package bench

import (
	"bytes"
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v2"

	"github.com/pearyard/pearyard/route"
)

// run runs `pearyard bench` with args and returns its output.
func run(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	app := &cli.App{Name: "pearyard", Writer: &out, ErrWriter: &out, Commands: []*cli.Command{Command()}}
	if err := app.RunContext(context.Background(), append([]string{"pearyard", "bench"}, args...)); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestBenchHasEachBenchmarkOnce(t *testing.T) {
	g := NewWithT(t)
	var names []string
	for _, command := range Command().Subcommands {
		names = append(names, command.Name)
	}
	g.Expect(names).To(Equal([]string{"route", "limit", "members", "measure"}))
}

func TestRouteBenchmarkTakesItsFlags(t *testing.T) {
	g := NewWithT(t)
	out := run(t, "route", "--runners", "6", "--seeds", "1", "--case", "steady", "--variant", route.LeastLoad)
	g.Expect(out).To(ContainSubstring("6 runners, steady"))
	g.Expect(out).To(ContainSubstring(route.LeastLoad))
}

// Checks only that the help lists the flags: runs of these two take minutes with the race
// detector, and their packages have tests for them.
func TestLongBenchmarksKeepTheirFlags(t *testing.T) {
	g := NewWithT(t)
	for bench, flags := range map[string][]string{
		"members": {"--members", "--window", "--rounds"},
		"limit":   {"--seeds", "--json"},
	} {
		help := run(t, bench, "--help")
		for _, name := range flags {
			g.Expect(help).To(ContainSubstring(name), "help of bench %s", bench)
		}
	}
}

func TestMeasurementsKeepTheirCommands(t *testing.T) {
	g := NewWithT(t)
	help := run(t, "measure", "--help")
	for _, name := range []string{"resume", "dial", "stream", "config", "leave", "idle", "--bin", "--runs", "--json"} {
		g.Expect(help).To(ContainSubstring(name))
	}
}
