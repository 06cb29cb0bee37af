package entry

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/types"
)

// newEntry returns an Entry that isn't running.
func newEntry(t *testing.T) *Entry {
	t.Helper()
	e, err := New(Options{Settings: platform.Settings{Name: "e", Zone: "z", Peers: "127.0.0.1:1", Store: "127.0.0.1:2", RetryWindow: time.Second}, Logger: log.NewNopLogger()})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// offerConfig applies a configuration with a single route to a service.
func offerConfig(e *Entry, version uint64, service string) {
	route := site.Route{Host: "h", Prefix: "/x/", Targets: []site.Target{{Service: service, Weight: 1}}}
	e.configHolder.Offer(&site.Versioned{Config: site.New(version, []site.Route{route}, nil, nil, site.ClientLimits{}), Position: types.Position(version)})
}

// An entry VM starts while the list has no server that it can use: entries without a
// service, of a service that no route leads to, of draining servers. If it reported
// itself ready, it would get callers and refuse all of them.
func TestNotReadyWithoutUsableServer(t *testing.T) {
	entry := func(id, service string, draining bool) directory.Listing {
		return directory.Listing{ID: id, Service: service, Address: "10.0.0.1:80", Slots: 1, Draining: draining}
	}
	for name, list := range map[string][]directory.Listing{
		"unknown service":      {entry("a", "other", false)},
		"all draining":         {entry("a", "s", true)},
		"no service":           {entry("a", "", false)},
		"unknown and draining": {entry("a", "other", false), entry("b", "s", true)},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			e := newEntry(t)
			offerConfig(e, 1, "s")
			e.directory.Apply(1, list, false, time.Now())
			g.Expect(e.Ready()).To(gomega.BeFalse())
			e.directory.Apply(2, append(list, entry("c", "s", false)), false, time.Now())
			g.Expect(e.Ready()).To(gomega.BeTrue())
		})
	}
}

// A ready VM stays ready when all of its servers begin to drain at once, since others will
// join. Out of rotation, it would get its callers back only two health checks later.
func TestReadyVMStaysReadyWhileServersDrain(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEntry(t)
	offerConfig(e, 1, "s")
	server := directory.Listing{ID: "a", Service: "s", Address: "10.0.0.1:80"}
	e.directory.Apply(1, []directory.Listing{server}, false, time.Now())
	g.Expect(e.Ready()).To(gomega.BeTrue())
	server.Draining = true
	e.directory.Apply(2, []directory.Listing{server}, false, time.Now())
	g.Expect(e.Ready()).To(gomega.BeTrue())
	e.directory.Apply(3, nil, false, time.Now())
	g.Expect(e.Ready()).To(gomega.BeFalse())
}
