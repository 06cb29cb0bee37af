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

// Guards against a stream that goes on at a process which was found at a known address while
// the store was away, and which may run another version than the process before it.
func TestVersionOfAProcessFoundAtAnAddressIsAssumed(t *testing.T) {
	for name, c := range map[string]struct {
		other     string // version of another server
		runs      bool   // the process counts as one of the former version
		confirmed string // version that the list names later
		runsLater bool
	}{
		"several versions serve": {"v2", false, "v1", true},
		"it runs another one":    {"v2", false, "v2", false},
		// The list may be old, and lack the version that the process runs.
		"a single version is listed": {"v1", false, "v1", true},
		"entries name no version":    {"", true, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d, now := New(), time.Now()
			former := "v1"
			if c.other == "" {
				former = ""
			}
			list := []Listing{versionListing("a1", 100, former), versionListing("a2", 100, c.other)}
			d.Apply(1, list, false, now)
			g.Expect(d.RecordRestart(d.View().byID["a1"], Start{"a3", 200}, now)).To(gomega.BeTrue())
			g.Expect(d.View().RunsVersion(d.View().byID["a3"], former)).To(gomega.Equal(c.runs))
			restarted := versionListing("a3", 200, c.confirmed)
			restarted.Address = list[0].Address
			d.Apply(2, []Listing{restarted, list[1]}, false, now)
			g.Expect(d.View().RunsVersion(d.View().byID["a3"], former)).To(gomega.Equal(c.runsLater))
		})
	}
}
