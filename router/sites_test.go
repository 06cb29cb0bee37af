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

// A site has just started, and a caller's generation begins before the sidecars
// have met. VM and router die, and the caller is told that its generation is
// lost: no journal peer was chosen, although the text names the sidecars.
func TestJournalSitesBeforeMembersMeet(t *testing.T) {
	g := NewWithT(t)
	members, err := membership.New(membership.Options{
		Self:     membership.Member{ID: "a", Role: types.RoleSidecar, Address: "127.0.0.1:1", Zone: "z1", Incarnation: 1},
		Recorder: event.Discard(), Registerer: prometheus.NewRegistry(), HTTPClient: http.DefaultClient,
	})
	g.Expect(err).NotTo(HaveOccurred())
	in := &text.Config{Services: []text.Service{{BackendServers: []text.BackendServer{
		{Zone: "z1", Sidecar: "127.0.0.1:1"}, {Zone: "z2", Sidecar: "127.0.0.1:2"}, {Zone: "z3", Sidecar: "127.0.0.1:3"},
	}}}}
	b := tokenlog.Site{Address: "127.0.0.1:2", Zone: "z2"}
	c := tokenlog.Site{Address: "127.0.0.1:3", Zone: "z3"}

	g.Expect(router.Sites(members.Snapshot(), in, time.Second)).To(ContainElements(b, c))
	g.Expect(router.Sites(members.Snapshot(), in, time.Minute)).NotTo(ContainElement(b))

	members.Observe(membership.Member{ID: "b", Role: types.RoleSidecar, Address: "127.0.0.1:2", Zone: "z2", Incarnation: 1})
	members.MarkLeaving("b")
	g.Expect(router.Sites(members.Snapshot(), in, time.Second)).To(And(ContainElement(c), Not(ContainElement(b))))
}
