package catalogue

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Places of the table in docs/design/core.md.
const (
	placeCore     = "core"
	placeOwn      = "own face"
	placePlatform = "platform's face"
	placeGoes     = "goes"
	placeTools    = "tools"
)

// placeRow is a row of the table of packages.
var placeRow = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| ([a-z' ]+) \\|")

// placesOf reads the table of packages: all places that a package is given.
func placesOf(t *testing.T) map[string][]string {
	t.Helper()
	raw, err := os.ReadFile("../docs/design/core.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(raw), "\n## Packages\n")
	if !found {
		t.Fatal("docs/design/core.md has no table of packages")
	}
	out := map[string][]string{}
	for _, row := range placeRow.FindAllStringSubmatch(table, -1) {
		out[row[1]] = append(out[row[1]], row[2])
	}
	return out
}

// A new package answers a question that another one answers already, and nobody
// was asked where it belongs; or one was removed and its row still sends readers there.
func TestEachPackageHasOnePlace(t *testing.T) {
	g := gomega.NewWithT(t)
	places := placesOf(t)
	var named []string
	for name, given := range places {
		named = append(named, name)
		g.Expect(given).To(gomega.HaveLen(1), "rows of %s", name)
		g.Expect(given[0]).To(gomega.BeElementOf(placeCore, placeOwn, placePlatform, placeGoes, placeTools), name)
	}
	g.Expect(named).To(gomega.ConsistOf(rootPackages(t)), "docs/design/core.md, table of packages")
}

// A package that both faces use takes in something of one of them, and from then
// on a change for one customer can break the other. Generated messages (rpc) are
// nobody's face.
func TestCoreImportsNoFace(t *testing.T) {
	g := gomega.NewWithT(t)
	places := placesOf(t)
	core := 0
	for name, given := range places {
		if given[0] != placeCore {
			continue
		}
		core++
		for _, imported := range importsOf(t, name) {
			root, _, _ := strings.Cut(imported, "/")
			if root != "rpc" {
				g.Expect(places[root]).To(gomega.Equal([]string{placeCore}), "%s imports %s", name, imported)
			}
		}
	}
	g.Expect(core).To(gomega.BeNumerically(">", 5), "the table is read")
}
