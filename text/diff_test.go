package text_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/text"
)

func TestDiffMatchesByName(t *testing.T) {
	g := NewWithT(t)
	old, err := text.Load([]byte(`{"models":[{"name":"a","version":"1"},{"name":"b","version":"1"}],
		"organisations":[{"name":"x","keySHA256":[],"weight":2},{"name":"y","keySHA256":[]}],"recovery":{"maxResumes":3}}`))
	g.Expect(err).NotTo(HaveOccurred())
	next, err := text.Load([]byte(`{"models":[{"name":"b","version":"1"},{"name":"a","version":"2"}],
		"organisations":[{"name":"y","keySHA256":["k"]},{"name":"x","keySHA256":[],"weight":5}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	var lines []string
	for _, change := range text.Diff(old, next) {
		lines = append(lines, change.String())
	}
	g.Expect(lines).To(Equal([]string{
		"added /models/1 (a@2)",
		"removed /models/0 (a@1)",
		"added /organisations/0/keySHA256/0 (y)",
		"changed /organisations/1/weight (x): 2 -> 5",
		"changed /recovery/maxResumes (recovery): 3 -> 8",
	}))
	g.Expect(text.Diff(next, next)).To(BeEmpty())
	g.Expect(text.Diff(nil, next)).NotTo(BeEmpty())
}

func TestUnifiedDiffOfLargeConfig(t *testing.T) {
	g := NewWithT(t)
	old := bigConfig(targetOrganisations)
	next := bytes.Replace(old, []byte(`"organisation-30000"`), []byte(`"organisation-renamed"`), 1)
	diff := text.UnifiedDiff(old, next, "old", "new")
	// Two lines of names, one of the hunk's ranges, twice three of context, two that differ.
	g.Expect(strings.Count(diff, "\n")).To(Equal(2 + 1 + 2*3 + 2))
	g.Expect(diff).To(HavePrefix("--- old\n+++ new\n@@ -29999,7 +29999,7 @@\n"))
	g.Expect(text.UnifiedDiff(old, old, "old", "new")).To(BeEmpty())
}

func TestUnifiedDiffOfConfigInOneLine(t *testing.T) {
	g := NewWithT(t)
	line := func(n int) []byte {
		return []byte(fmt.Sprintf(`{"models":[%s{"name":"last","version":"%d"}]}`, strings.Repeat(`{"name":"m","version":"1"},`, 50), n))
	}
	diff := text.UnifiedDiff(line(1), line(2), "old", "new")
	g.Expect(diff).To(ContainSubstring("-      \"version\": \"1\"\n+      \"version\": \"2\"\n"))
	g.Expect(len(diff)).To(BeNumerically("<", 300))
}
