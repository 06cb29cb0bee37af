package deploy

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var (
	// locationField matches a field that names the location of a disruption, with its value.
	locationField = regexp.MustCompile(`\b(service|class|zone|to_zone|region)\s*=\s*"([^"]*)"`)
	// dayName matches the name field of a day.
	dayName = regexp.MustCompile(`(?m)^name = "([^"]+)"$`)
	// placeholders stand for the first request class, service and availability
	// zone of the site that a day is run on.
	placeholders = []string{"@c0", "@s0", "@z0"}
)

// A day is a script of disruptions. One that names a service, class or zone of one site
// is skipped silently on all other sites, so that their clean results wrongly seem to
// cover it. And without a comment that states the feared failure, a finding of that day
// can't be understood.
func TestDaysFitAnySiteAndSayWhatIsFeared(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("days/*.toml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		raw, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for _, found := range locationField.FindAllStringSubmatch(string(raw), -1) {
			g.Expect(placeholders).To(ContainElement(found[2]), "%s: %s names no placeholder", file, found[0])
		}
		names := dayName.FindAllStringSubmatch(string(raw), -1)
		g.Expect(names).To(HaveLen(1), "%s: number of days", file)
		g.Expect(names[0][1]+".toml").To(Equal(filepath.Base(file)), "%s: name of the day", file)
		g.Expect(headerComment(string(raw))).To(ContainSubstring("Feared: "), "%s: comment before the day", file)
	}
}

// headerComment returns the lines before the first day table.
func headerComment(day string) string {
	head, _, _ := strings.Cut(day, "[[day]]")
	return head
}
