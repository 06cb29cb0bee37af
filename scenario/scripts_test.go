package scenario_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/scenario"
)

// Guards against scripts that end early: testscript's own commands `stop` and `skip` take
// precedence over commands of the harness and end a script without running the rest. A
// script that meant to stop a backend server with `stop` passed that way.
func TestScriptsRunToTheirEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	ends := regexp.MustCompile(`(?m)^(\[.*\] *|when \S+ \S+ )?(stop|skip)\b.*$`)
	scripts, err := filepath.Glob("testdata/*.txtar")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(scripts).NotTo(gomega.BeEmpty())
	for _, script := range scripts {
		raw, err := os.ReadFile(script)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(ends.FindAllString(string(raw), -1)).To(gomega.BeEmpty(), script)
	}
}

// testscript's own commands take precedence, so a command of the harness with the same
// name would never run, and a script that uses it could pass without its effect.
func TestCommandNamesDontCollideWithTestscript(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, theirs := range []string{
		"cd", "chmod", "cmp", "cmpenv", "cp", "env", "exec", "exists", "grep", "kill", "mkdir", "mv", "rm", "skip",
		"stderr", "stdin", "stdout", "stop", "symlink", "ttyin", "ttyout", "unix2dos", "unquote", "wait",
	} {
		g.Expect(scenario.Commands()).NotTo(gomega.HaveKey(theirs))
	}
}
