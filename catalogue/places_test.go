package catalogue

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Places in the table of docs/design/core.md. A face is the API for one customer.
const (
	placeCore     = "core" // used by both faces
	placeOwn      = "own face"
	placePlatform = "platform's face"
	placeGoes     = "goes"
	placeTools    = "tools"
)

// placeRow matches a row of the table of packages.
var placeRow = regexp.MustCompile("(?m)^\\| `([a-z]+)` \\| ([a-z' ]+) \\|")

// placesOf reads the table of packages and returns the places given for each package.
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

// Each package must have exactly one row in the table. Otherwise a new package could
// duplicate an existing one without a decision on where it belongs, or the row of a
// removed package could remain.
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

// The core is used by both faces. If it imported a package of one face, a change for
// one customer could break the other. Generated messages (rpc) belong to no face.
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
				g.Expect(places[root]).To(gomega.Equal([]string{placeCore}), "%s is in the core and imports %s, which is not", name, imported)
			}
		}
	}
	g.Expect(core).To(gomega.BeNumerically(">", 5), "the table has core packages")
}
