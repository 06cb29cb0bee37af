package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func versionListing(id string, born int64, version string) Listing {
	return Listing{ID: id, Born: born, Service: "s", Address: "10.0.0.1:" + id[1:], Zone: "a", Slots: 8, Version: version}
}

// Guards against a known start that loses its version when the outdated entry of an earlier
// start is replaced by it: peers that get the list would not know the version.
func TestReplacedEntryKeepsTheVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	d := New()
	d.Apply(1, []Listing{versionListing("a1", 200, "v2")}, false, time.Now())
	d.Apply(2, []Listing{versionListing("a1", 100, "v1")}, false, time.Now())
	g.Expect(d.View().Listings).To(gomega.Equal([]Listing{versionListing("a1", 200, "v2")}))
}
