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
	// place matches a field that says where a disruption strikes, with its value.
	place = regexp.MustCompile(`\b(service|class|zone|to_zone|region)\s*=\s*"([^"]*)"`)
	// label matches a day's name, at the beginning of a line.
	label = regexp.MustCompile(`(?m)^name = "([^"]+)"$`)
	// firstOfKind are the names that stand for the first request class, service
	// and availability zone of whatever site a day is played on.
	firstOfKind = []string{"@c0", "@s0", "@z0"}
)

// A day that names a service, class or zone of one site is left out silently on
// all others: whoever reads a clean hunt there believes that it was played. And
// a day whose comment doesn't say what is feared tells its finder nothing.
func TestDaysFitAnySiteAndSayWhatIsFeared(t *testing.T) {
	g := NewWithT(t)
	files, err := filepath.Glob("days/*.toml")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).NotTo(BeEmpty())
	for _, file := range files {
		raw, err := os.ReadFile(file)
		g.Expect(err).NotTo(HaveOccurred())
		for _, found := range place.FindAllStringSubmatch(string(raw), -1) {
			g.Expect(firstOfKind).To(ContainElement(found[2]), "%s: %s", file, found[0])
		}
		names := label.FindAllStringSubmatch(string(raw), -1)
		g.Expect(names).To(HaveLen(1), "%s: days", file)
		g.Expect(names[0][1]+".toml").To(Equal(filepath.Base(file)), "name of the day in its file")
		g.Expect(comment(string(raw))).To(ContainSubstring("Feared: "), file)
	}
}

// comment returns the lines that stand before the first field.
func comment(day string) string {
	head, _, _ := strings.Cut(day, "[[day]]")
	return head
}
