package sidecar

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/types"
)

// pausingEngine emits one token, pauses, and emits another one.
type pausingEngine struct {
	stuckEngine
	pause time.Duration
}

func (e pausingEngine) Generate(ctx context.Context, _ engine.Request, emit func(types.Token) error) (engine.Result, error) {
	if err := emit(types.Token{ID: 1, Text: " a"}); err != nil {
		return engine.Result{}, err
	}
	select {
	case <-ctx.Done():
		return engine.Result{}, ctx.Err()
	case <-time.After(e.pause):
	}
	return engine.Result{}, emit(types.Token{ID: 2, Text: " b"})
}

// A healthy engine preempts a generation for four seconds because it has run out of
// memory, and responds to probes all the while. The generation was given up after three
// seconds, before anyone had checked whether another engine could continue it: the sidecar
// treated the pause as a death. PY3010 (generation_stalled) was logged at the third second,
// followed by the router's PY2100 (attempt_placed), which named the same backend server
// again.
func TestGenerationThatIsSetAsideIsNotGivenUpForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{
			Peer: newTestPeer("sidecar"), Engine: pausingEngine{pause: stallTimeout + time.Second}, Revision: func() types.Revision { return 1 },
			Recovery: func() RecoverySettings {
				return RecoverySettings{RouterGrace: time.Second, Retention: time.Minute, MoveAfter: time.Second}
			},
			Recorder: event.Discard(), Registerer: prometheus.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		r, refused := s.start(request(types.NewGenerationID(7), 5))
		g.Expect(refused).To(BeNil())
		defer r.cancel()
		r.addReader("router-1")
		time.Sleep(stallTimeout + 2*time.Second)
		state := r.log.Snapshot(0)
		cancel()
		time.Sleep(2 * time.Minute) // past the retention, so that its timer has fired
		g.Expect(state.Phase).NotTo(Equal(generation.Lost))
		g.Expect(state.Count).To(Equal(2))
	})
}
