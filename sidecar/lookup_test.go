package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// An engine and the router before it die together; the sidecar lives and still
// has every token. The caller comes back through another router, which asks
// all sidecars who holds the generation. It was told "lost": the sidecar named
// itself only for generations that run or have finished.
func TestLookupNamesHolderOfLostGeneration(t *testing.T) {
	g := NewWithT(t)
	const address = "127.0.0.1:9"
	s := New(Options{
		Peer:   peer.New(peer.Options{Self: peer.Identity{ID: "s", Incarnation: 1, Address: address}, Revision: func() types.Revision { return 1 }}),
		Engine: stuckEngine{}, Revision: func() types.Revision { return 1 },
		Dial: func() Dial { return Dial{} }, Recorder: event.Discard(), Registerer: prometheus.NewRegistry(),
	})
	id := types.NewGenerationID(7)
	r, refused := s.start(request(id, 5))
	g.Expect(refused).To(BeNil())
	defer r.cancel()
	holder := func() string {
		resp, err := service{s}.Lookup(t.Context(), &streampb.LookupRequest{Generation: id.String()})
		g.Expect(err).NotTo(HaveOccurred())
		return resp.GetRunner()
	}
	g.Expect(holder()).To(Equal(address))
	g.Expect(r.log.Lose(engine.ErrDied)).To(BeTrue())
	g.Expect(holder()).To(Equal(address))
}
