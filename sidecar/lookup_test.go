package sidecar

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// gatedEngine emits its only token once release is closed.
type gatedEngine struct {
	stuckEngine
	release, ended chan struct{}
}

func (e gatedEngine) Generate(ctx context.Context, r engine.Request, emit func(types.Token) error) (engine.Result, error) {
	defer close(e.ended)
	<-e.release
	return e.stuckEngine.Generate(ctx, r, emit)
}

// An engine and the router in front of it die together, while the sidecar survives and
// still has every token. The caller comes back through another router, which asks all
// sidecars for the generation. The caller was told that it was lost, because the sidecar
// named itself only for generations that were running or finished.
func TestLookupNamesHolderOfLostGeneration(t *testing.T) {
	for name, lostBeforeFirstToken := range map[string]bool{"lost after the first token": false, "lost before the first token": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			const address = "127.0.0.1:9"
			e := gatedEngine{release: make(chan struct{}), ended: make(chan struct{})}
			s := New(Options{
				Peer:   peer.New(peer.Options{Self: peer.Identity{ID: "s", Incarnation: 1, Address: address}, Revision: func() types.Revision { return 1 }}),
				Engine: e, Revision: func() types.Revision { return 1 },
				Recovery: func() RecoverySettings {
					return RecoverySettings{RouterGrace: time.Second, Retention: time.Minute, MoveAfter: time.Second}
				},
				Recorder: event.Discard(), Registerer: prometheus.NewRegistry(),
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
			if lostBeforeFirstToken {
				g.Expect(r.log.Lose(engine.ErrConnectionLost)).To(BeTrue())
				close(e.release)
				g.Eventually(e.ended).Should(BeClosed())
				// The attempt's end is handled after the engine returns.
				g.Consistently(holder, 50*time.Millisecond).Should(Equal(address))
				return
			}
			close(e.release)
			g.Eventually(func() int { return r.log.Snapshot(0).Count }).Should(Equal(1))
			g.Expect(r.log.Lose(engine.ErrConnectionLost)).To(BeTrue())
			g.Expect(holder()).To(Equal(address))
		})
	}
}
