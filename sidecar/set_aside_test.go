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

// pausingEngine gives one token, nothing for a while, and another one.
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

// A sound engine sets a generation aside for four seconds, as it has run out of
// memory, and answers probes all the while. The generation was given up after
// three, before anybody had looked whether another engine would go on with it:
// the sidecar took silence for a death. PY3010 stood at the third second, and the
// router's PY2100 behind it named the same backend server again.
func TestGenerationThatIsSetAsideIsNotGivenUpForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := New(Options{
			Peer: newTestPeer("sidecar"), Engine: pausingEngine{pause: stallAfter + time.Second}, Revision: func() types.Revision { return 1 },
			Dial:     func() Dial { return Dial{RouterGrace: time.Second, Retain: time.Minute, DrainLong: time.Second} },
			Recorder: event.Discard(), Registerer: prometheus.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		r, refused := s.start(request(types.NewGenerationID(7), 5))
		g.Expect(refused).To(BeNil())
		defer r.cancel()
		r.addReader("router-1")
		time.Sleep(stallAfter + 2*time.Second)
		state := r.log.Snapshot(0)
		cancel()
		time.Sleep(2 * time.Minute) // past the retention, so that its timer has fired
		g.Expect(state.Phase).NotTo(Equal(generation.Lost))
		g.Expect(state.Count).To(Equal(2))
	})
}
