package catalogue

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// modulePrefix is the prefix of the import paths of pearyard.
const modulePrefix = "github.com/pearyard/pearyard/"

// allowed matches the sentence of a package comment that lists the allowed imports.
var allowed = regexp.MustCompile(`May import of pearyard: ([^.]*)\.`)

// rootPackages returns the folders at the root that contain Go files.
func rootPackages(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, file := range files {
		out = append(out, filepath.Base(filepath.Dir(file)))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// importsOf returns the packages of pearyard that a root package imports, except in
// its tests.
func importsOf(t *testing.T, name string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range parsed.Imports {
			path, _ := strconv.Unquote(i.Path.Value)
			if of, ok := strings.CutPrefix(path, modulePrefix); ok {
				out = append(out, of)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Guards against unintended dependencies, with which packages can no longer be read or
// changed on their own. The doc.go of a package lists what it may import; adding an
// import is a decision that changes this list.
func TestPackagesImportWhatTheirCommentsAllow(t *testing.T) {
	g := gomega.NewWithT(t)
	checked := 0
	for _, name := range rootPackages(t) {
		raw, err := os.ReadFile(filepath.Join("..", name, "doc.go"))
		if err != nil || name == "catalogue" { // its comment names no packages
			continue
		}
		text := strings.ReplaceAll(string(raw), "\n// ", " ")
		match := allowed.FindStringSubmatch(text)
		if match == nil {
			continue
		}
		checked++
		want := []string{}
		if match[1] != "none" {
			want = strings.Split(match[1], ", ")
		}
		g.Expect(want).To(gomega.ContainElements(importsOf(t, name)), "%s imports a package of pearyard that %s/doc.go does not list", name, name)
	}
	g.Expect(checked).To(gomega.BeNumerically(">", len(rootPackages(t))/2), "the lists of imports are found")
}
