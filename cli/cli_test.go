package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/gomega"
	"github.com/rogpeppe/go-internal/testscript"

	_ "github.com/pearyard/pearyard/admin" // defines the events that the scripts look up
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"pearyard": func() { os.Exit(Run(context.Background(), os.Args, demoOptions())) }})
}

func demoOptions() Options {
	return Options{Demo: func(_ context.Context, stdout io.Writer) error {
		_, err := fmt.Fprintln(stdout, "demo ran")
		return err
	}}
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exit": scriptExit},
	})
}

// scriptExit runs pearyard and compares its exit code: exit CODE ARGS...
func scriptExit(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec("pearyard", args[1:]...)
	got := 0
	if coded, ok := err.(interface{ ExitCode() int }); ok {
		got = coded.ExitCode()
	} else {
		ts.Check(err)
	}
	if (got == want) == neg {
		ts.Fatalf("exit code %d, want %d (negated: %v)", got, want, neg)
	}
}

func TestFlagsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	commands := New(Options{}).Commands
	for _, example := range []struct{ given, want []string }{
		{[]string{"p", "apply", "F", "--base", "3", "--wait"}, []string{"p", "apply", "--base", "3", "--wait", "--", "F"}},
		{[]string{"p", "apply", "--base=3", "F"}, []string{"p", "apply", "--base=3", "--", "F"}},
		{[]string{"p", "check", "-"}, []string{"p", "check", "--", "-"}},
		{[]string{"p", "check", "--", "--odd-name"}, []string{"p", "check", "--", "--odd-name"}},
		{[]string{"p", "bundle", "-o", "F"}, []string{"p", "bundle", "-o", "F"}},
		{[]string{"p", "unknown", "F", "--x"}, []string{"p", "unknown", "F", "--x"}},
		{[]string{"p", "check", completionFlag}, []string{"p", "check", completionFlag}},
	} {
		g.Expect(flagsFirst(example.given, commands)).To(gomega.Equal(example.want))
	}
}

// FuzzFlagsFirst checks that no argument is lost or added, whatever the input.
func FuzzFlagsFirst(f *testing.F) {
	f.Add("F", "--base", "3")
	f.Add("--wait", "--", "-x")
	commands := New(Options{}).Commands
	f.Fuzz(func(t *testing.T, a, b, c string) {
		count := map[string]int{}
		for _, arg := range []string{a, b, c} {
			count[arg]++
		}
		for _, arg := range flagsFirst([]string{"p", "apply", a, b, c}, commands)[2:] {
			count[arg]--
		}
		for arg, n := range count {
			if n != 0 && arg != "--" {
				t.Fatalf("%q %q %q: %q is off by %d", a, b, c, arg, n)
			}
		}
	})
}
