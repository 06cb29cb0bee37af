package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/generation"
	"github.com/pearyard/pearyard/peer"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// stuckEngine emits one token and then hangs, but responds to probes.
type stuckEngine struct{ engine.Engine }

func (stuckEngine) Generate(ctx context.Context, _ engine.Request, emit func(types.Token) error) (engine.Result, error) {
	if err := emit(types.Token{ID: 1, Text: " a"}); err != nil {
		return engine.Result{}, err
	}
	<-ctx.Done()
	return engine.Result{}, ctx.Err()
}
func (stuckEngine) Healthy(context.Context) error            { return nil }
func (stuckEngine) Load(context.Context) (types.Load, error) { return types.Load{}, nil }

func newTestSidecar() (*Sidecar, *peer.Peer) {
	p := newTestPeer("sidecar")
	return New(Options{
		Peer: p, Engine: stuckEngine{}, Revision: func() types.Revision { return 1 },
		Recovery: func() RecoverySettings {
			return RecoverySettings{RouterGrace: time.Second, Retention: time.Minute, MoveAfter: time.Second}
		},
		Recorder: event.Discard(), Registerer: prometheus.NewRegistry(),
	}), p
}

func newTestPeer(id types.ProcessID) *peer.Peer {
	return peer.New(peer.Options{Self: peer.Identity{ID: id, Incarnation: 1}, Revision: func() types.Revision { return 1 }})
}

func request(id types.GenerationID, attempt types.AttemptTag) *streampb.GenerateRequest {
	return &streampb.GenerateRequest{
		RequestId: "r", Generation: id.String(), MaxTokens: 10,
		Lineage: streampb.FromLineage(types.Lineage{{Attempt: attempt}}),
	}
}

// A caller's router freezes, and the caller continues to read the same attempt through
// another router. The first router resumes, finds its caller gone and cancels. That must
// not interrupt the caller's stream.
func TestCancelLeavesOthersReaders(t *testing.T) {
	g := NewWithT(t)
	s, p := newTestSidecar()
	server := httptest.NewServer(p.Handler(s.Handler()))
	defer server.Close()
	id := types.NewGenerationID(7)
	r, refused := s.start(request(id, 5))
	g.Expect(refused).To(BeNil())
	defer r.cancel()

	read := func(router types.ProcessID, path string) context.CancelFunc {
		ctx, cancel := context.WithCancel(t.Context())
		var body strings.Builder
		_ = streampb.Write(&body, &streampb.AttachRequest{Generation: id.String()})
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader(body.String()))
		resp, err := newTestPeer(router).Client().Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = resp.Body.Close() })
		return cancel
	}
	leaveFirst := read("router-1", streampb.PathAttach)
	leaveSecond := read("router-2", streampb.PathAttach)
	defer leaveSecond()
	leaveFirst()
	cancelBy := func(router types.ProcessID) bool {
		client := streampb.NewSidecarProtobufClient(server.URL, newTestPeer(router).Client())
		resp, err := client.Cancel(t.Context(), &streampb.CancelRequest{Generation: id.String(), Attempt: 5})
		g.Expect(err).NotTo(HaveOccurred())
		return resp.GetWasRunning()
	}
	g.Expect(cancelBy("router-1")).To(BeFalse())
	g.Expect(r.log.Snapshot(0).Phase).To(Equal(generation.Running))
	g.Expect(cancelBy("router-2")).To(BeTrue())
}

// Two routers read an attempt and cancel it shortly after one another, before the sidecar
// has noticed that the first one's connection has ended. Both have said that they no
// longer need the attempt, so the second cancel must stop it; if the first router still
// counted as a reader, the attempt would occupy its engine for the grace period.
func TestCancelCountsBeforeItsConnectionEnds(t *testing.T) {
	g := NewWithT(t)
	s, _ := newTestSidecar()
	id := types.NewGenerationID(7)
	r, refused := s.start(request(id, 5))
	g.Expect(refused).To(BeNil())
	defer r.cancel()
	first := r.addReader("router-1")
	r.addReader("router-2")
	cancelBy := func(router types.ProcessID) bool { return s.cancel(r, router).GetWasRunning() }
	g.Expect(cancelBy("router-1")).To(BeFalse())
	g.Expect(r.log.Snapshot(0).Phase).To(Equal(generation.Running))
	g.Expect(cancelBy("router-2")).To(BeTrue())
	// Noticing the ended connection later must change nothing.
	r.removeReader(first, time.Hour, func() {})
	g.Expect(r.hasNoReader()).To(BeTrue())
}

// A router cancels, and its caller comes back through it before the sidecar has noticed
// that the first connection has ended. The new reader must not be removed along with the
// old one.
func TestReaderAfterCancelIsKept(t *testing.T) {
	g := NewWithT(t)
	s, _ := newTestSidecar()
	r, refused := s.start(request(types.NewGenerationID(7), 5))
	g.Expect(refused).To(BeNil())
	defer r.cancel()
	old := r.addReader("router-1")
	other := r.addReader("router-2")
	s.cancel(r, "router-1")
	r.addReader("router-1")
	r.removeReader(old, time.Hour, func() {})
	r.removeReader(other, time.Hour, func() {})
	g.Expect(r.hasNoReader()).To(BeFalse())
}

// An engine responds to probes while its loop is stuck, so a generation stops after one
// token and never ends. No router reads it any more: the sidecar must give it up, or it
// would occupy the engine forever.
func TestStalledGenerationIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s, _ := newTestSidecar()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		r, refused := s.start(request(types.NewGenerationID(7), 5))
		g.Expect(refused).To(BeNil())
		time.Sleep(stallTimeout - probeInterval)
		g.Expect(r.log.Snapshot(0).Phase).To(Equal(generation.Running))
		time.Sleep(2 * probeInterval)
		g.Expect(r.log.Snapshot(0).Phase).To(Equal(generation.Lost))
		g.Expect(r.log.Append(types.Token{ID: 2})).To(MatchError(generation.ErrClosed))
		synctest.Wait()
		g.Expect(s.InFlight()).To(BeZero())
		time.Sleep(2 * time.Minute) // past the retention, so that its timer has fired
	})
}

// A backend server begins to drain while work is accepted. Nothing may be accepted
// afterwards, and the drain must wait for the work in progress.
func TestDrainSeesAllThatEntered(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission()
	g.Expect(a.enter()).To(BeTrue())
	g.Expect(a.drain()).To(BeTrue())
	g.Expect(a.drain()).To(BeFalse())
	g.Expect(a.enter()).To(BeFalse())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	g.Expect(a.wait(ctx)).To(MatchError(context.DeadlineExceeded))
	a.exit()
	g.Expect(a.wait(t.Context())).To(Succeed())
}
