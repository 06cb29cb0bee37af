package node

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/event"
	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/tokenlog"
	"github.com/pearyard/pearyard/types"
)

// appendRecorder is a tokenlog.Sender that records the addresses it sends to, as far as its
// buffer has space.
type appendRecorder chan string

// Append implements tokenlog.Sender.
func (a appendRecorder) Append(_ context.Context, addr string, _ *streampb.JournalAppend) (*streampb.JournalAppended, error) {
	select {
	case a <- addr:
	default:
	}
	return &streampb.JournalAppended{}, nil
}

// A sidecar has just started and gets a generation before it has fetched the
// configuration. The generation was never journalled, however long it ran: when its VM and
// its router died it was lost, and its idempotency key was unknown everywhere.
func TestGenerationBeforeTheConfigurationIsJournalled(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	s, err := NewSidecar(SidecarOptions{
		Common:        Common{ID: "s", Zone: "z1", Peers: listener, Logger: log.NewNopLogger()},
		BackendServer: "a", Engine: httpapi.New(httpapi.Options{Address: "127.0.0.1:9"}),
	})
	g.Expect(err).NotTo(HaveOccurred())
	sent := make(appendRecorder, 1)
	writer := tokenlog.NewWriter(tokenlog.WriterOptions{Self: s.Address(), Sender: sent, Recorder: event.Discard(), Registerer: prometheus.NewRegistry()})
	defer writer.Close()
	s.writer.Store(writer)

	opened := make(chan *tokenlog.Handle, 1)
	go func() {
		opened <- s.openJournal(tokenlog.GenerationInfo{ID: types.NewGenerationID(7), Lineage: types.Lineage{{Attempt: 5}}})
	}()
	raw, err := json.Marshal(map[string]any{"services": []any{map[string]any{
		"name": "m", "kind": "model", "dependsOn": []any{},
		"backendServers": []any{map[string]any{"name": "b", "zone": "z2", "sidecar": "127.0.0.1:8"}},
	}}, "recovery": map[string]any{"journalAfterMillis": 0}})
	g.Expect(err).NotTo(HaveOccurred())
	time.AfterFunc(firstConfigTimeout/4, func() { _, _ = s.holder.Offer(1, raw) })
	var handle *tokenlog.Handle
	g.Eventually(opened, "5s").Should(Receive(&handle))
	g.Expect(handle).NotTo(BeNil())
	defer handle.Close()
	handle.Append(types.Token{ID: 1, Text: " a"})
	g.Eventually(sent, "5s").Should(Receive(Equal("127.0.0.1:8")))
}
