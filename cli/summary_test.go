package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/explain"
)

const summaryLogs = `level=info ts=2026-10-02T12:00:00Z process=edge-1 event=PY2700 name=site_config_applied version=2 objectives=stream:4.5s/700ms
level=info ts=2026-10-02T12:00:09Z process=edge-1 event=PY2720 name=exchange_served request=a1 route=r kind=stream took=8s first=5s pause=3ms server=i-9 ended_by=answer
level=info ts=2026-10-02T12:00:09Z process=edge-1 event=PY2720 name=exchange_ser
`

// On-call engineers know that answers were slow, but have no request ID. From the logs
// of that time the summary shows counts, causes and example requests.
func TestSummaryOfLogs(t *testing.T) {
	g := gomega.NewWithT(t)
	file := filepath.Join(t.TempDir(), "log")
	g.Expect(os.WriteFile(file, []byte(summaryLogs), 0o600)).To(gomega.Succeed())

	got := runCLI(t, "explain", "--summary", "--logs", file)
	g.Expect(got.code).To(gomega.Equal(ExitOK), got.stderr)
	g.Expect(got.stdout).To(gomega.ContainSubstring("1 lines not used, cut"))
	g.Expect(got.stdout).To(gomega.MatchRegexp(`stream +1 +0 +1 +0 +0`))
	g.Expect(got.stdout).To(gomega.MatchRegexp(`queue +stream +1 +0 +0 +8s +a1 took 8s, first event 5s, longest pause 3ms, server i-9`))
	g.Expect(got.stdout).To(gomega.ContainSubstring("from 2026-10-02T12:00:01Z: 0.00 in time"))

	got = runCLI(t, "explain", "--summary", "--logs", file, "--output", "json", "--objective", "stream:6s")
	g.Expect(got.code).To(gomega.Equal(ExitOK), got.stderr)
	var summary explain.Summary
	g.Expect(json.Unmarshal([]byte(got.stdout), &summary)).To(gomega.Succeed())
	g.Expect(summary.Kinds[0].InTime).To(gomega.Equal(1))
}

func TestSummaryRefusesInvalidArguments(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, args := range [][]string{
		{"explain", "--summary"},
		{"explain", "--summary", "--logs", "-", "some-id"},
		{"explain", "--summary", "--logs", "-", "--span", "10ms"},
		{"explain", "--summary", "--logs", "-", "--objective", "stream"},
	} {
		g.Expect(runCLI(t, args...).code).To(gomega.Equal(ExitUsage), args)
	}
}
