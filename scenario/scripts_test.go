package scenario_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/scenario"
)

// A script stopped a backend server by a command named `stop`. It passed, and
// nothing after that line ever ran: testscript has a command of that name, which
// ends a script as passed and goes before those of the harness.
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

func TestNoCommandHidesBehindTestscripts(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, theirs := range []string{
		"cd", "chmod", "cmp", "cmpenv", "cp", "env", "exec", "exists", "grep", "kill", "mkdir", "mv", "rm", "skip",
		"stderr", "stdin", "stdout", "stop", "symlink", "ttyin", "ttyout", "unix2dos", "unquote", "wait",
	} {
		g.Expect(scenario.Commands()).NotTo(gomega.HaveKey(theirs))
	}
}
