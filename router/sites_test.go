package router_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/router"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

// A generation starts before the sidecars of a new deployment know each other. Journal
// peers must be chosen among the configured sidecars: without a peer the generation was
// lost when its VM and router died.
func TestJournalSitesIncludeConfiguredSidecarsAtStart(t *testing.T) {
	g := NewWithT(t)
	members, err := membership.New(membership.Options{
		Self:     membership.Member{ID: "a", Role: types.RoleSidecar, Address: "127.0.0.1:1", Zone: "z1", Incarnation: 1},
		Recorder: event.Discard(), Registerer: prometheus.NewRegistry(), HTTPClient: http.DefaultClient,
	})
	g.Expect(err).NotTo(HaveOccurred())
	conf := &text.Config{Services: []text.Service{{BackendServers: []text.BackendServer{
		{Zone: "z1", Sidecar: "127.0.0.1:1"}, {Zone: "z2", Sidecar: "127.0.0.1:2"}, {Zone: "z3", Sidecar: "127.0.0.1:3"},
	}}}}
	b := tokenlog.Site{Address: "127.0.0.1:2", Zone: "z2"}
	c := tokenlog.Site{Address: "127.0.0.1:3", Zone: "z3"}

	g.Expect(router.JournalSites(members.Snapshot(), conf, time.Second)).To(ContainElements(b, c))
	g.Expect(router.JournalSites(members.Snapshot(), conf, time.Minute)).NotTo(ContainElement(b))

	members.Observe(membership.Member{ID: "b", Role: types.RoleSidecar, Address: "127.0.0.1:2", Zone: "z2", Incarnation: 1})
	members.MarkLeaving("b")
	g.Expect(router.JournalSites(members.Snapshot(), conf, time.Second)).To(And(ContainElement(c), Not(ContainElement(b))))
}
