package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/types"
)

// targetProcesses is the size of the target site: 400 routers and 1,600 sidecars.
const targetProcesses = 2000

// serveAllMembers serves every member from one listener: the client dials it for every
// address, and the Host header tells which process is queried.
func serveAllMembers(tb testing.TB, handler http.Handler) (*http.Client, []Member) {
	tb.Helper()
	server := httptest.NewServer(handler)
	tb.Cleanup(server.Close)
	transport := newTransport()
	transport.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, server.Listener.Addr().String())
	}
	tb.Cleanup(transport.CloseIdleConnections)
	members := make([]Member, targetProcesses)
	for i := range members {
		address := fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		members[i] = Member{Process: types.ProcessID(address), Address: address, State: StateAlive}
	}
	return &http.Client{Transport: transport}, members
}

// BenchmarkWaitInForce queries all processes of a site of the target size for a
// revision that the membership has not reported for any of them, which is the worst
// case of apply --wait.
func BenchmarkWaitInForce(b *testing.B) {
	client, members := serveAllMembers(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(inspect.Version{
			Identity: inspect.Identity{Process: types.ProcessID(r.Host)}, Revision: 7,
		})
	}))
	s, err := New(Options{
		Token: "t", Members: func() []Member { return members }, HTTP: client, InForce: func() ConfigRevision { return ConfigRevision{} },
	})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		result := s.waitInForce(context.Background(), 7, DefaultWait)
		if result.GetInForce() != targetProcesses {
			b.Fatalf("in force in %d of %d processes", result.GetInForce(), targetProcesses)
		}
	}
}

// BenchmarkBundle writes the bundle of a site of the target size, each process with
// 64 KB of state and 300 events.
func BenchmarkBundle(b *testing.B) {
	recorder := event.Discard()
	for i := range 300 {
		recorder.Emit(eventStop, event.FieldRequest, fmt.Sprintf("req-%d", i), "step", "some words about what happened")
	}
	registry, err := inspect.New(inspect.Options{Recorder: recorder})
	if err != nil {
		b.Fatal(err)
	}
	registry.Add("state", func() any { return strings.Repeat("0123456789abcde ", 4<<10) })
	client, members := serveAllMembers(b, registry.Handler())
	s, err := New(Options{
		Token: "t", Members: func() []Member { return members }, HTTP: client,
		Store: noConfigs{}, InForce: func() ConfigRevision { return ConfigRevision{} },
	})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		written := &countingWriter{}
		if err := s.WriteBundle(context.Background(), written); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(written.bytes)/1e6, "MB/bundle")
	}
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// noConfigs is a store without any revision.
type noConfigs struct{ ConfigStore }

func (noConfigs) History(context.Context, int) ([]ConfigRevision, error) { return nil, ErrNoRevision }

// BenchmarkMaskJSON masks a configuration of the target's 48,000 organisations.
func BenchmarkMaskJSON(b *testing.B) {
	var document bytes.Buffer
	document.WriteString(`{"organisations":[`)
	for i := range 48_000 {
		fmt.Fprintf(&document, `{"name":"org-%d","keySHA256":["%064x"]},`, i, i)
	}
	document.WriteString(`]}`)
	b.SetBytes(int64(document.Len()))
	for b.Loop() {
		newMasker().maskJSON(document.Bytes())
	}
}

// For two processes with synchronized clocks, the estimate is less precise than the
// clocks and must not shift their steps. A clock that is wrong must be corrected.
func TestEstimateClockIgnoresOffsetsWithinItsError(t *testing.T) {
	g := gomega.NewWithT(t)
	sent := time.Unix(1000, 0)
	received := sent.Add(10 * time.Millisecond)
	g.Expect(estimateClock(sent, received, sent.Add(time.Millisecond))).To(gomega.Equal(clockEstimate{maxError: 5 * time.Millisecond}))
	g.Expect(estimateClock(sent, received, sent.Add(time.Hour)).offset).To(gomega.Equal(time.Hour - 5*time.Millisecond))
}

// When consume fails, for example because the client of a bundle has disconnected,
// queryAll ends, and queries that are still running must not stay blocked.
func TestQueryAllEndsWhenConsumeFails(t *testing.T) {
	g := gomega.NewWithT(t)
	members := make([]Member, 100)
	query := func(context.Context, Member) int { return 1 }
	taken := 0
	err := queryAll(context.Background(), 4, members, query, func(Member, int) error {
		taken++
		if taken == 3 {
			return context.Canceled
		}
		return nil
	})
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(taken).To(gomega.Equal(3))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(queryAll(ctx, 4, members, query, func(Member, int) error { return nil })).To(gomega.MatchError(context.Canceled))
}
