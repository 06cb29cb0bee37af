package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/inspect"
	"github.com/pearyard/pearyard/types"
)

// targetProcesses is the target's size: 400 routers and 1,600 sidecars.
const targetProcesses = 2000

// oneForAll serves every member from one listener: the client dials it whatever
// the address, and the Host header says which process is meant.
func oneForAll(tb testing.TB, revision types.Revision) (*http.Client, []Member) {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(inspect.Version{
			Identity: inspect.Identity{Process: types.ProcessID(r.Host)}, Revision: revision,
		})
	}))
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

// BenchmarkWaitInForce asks all processes of the target's size for a revision
// that membership has not heard of from any: the worst round of apply --wait.
func BenchmarkWaitInForce(b *testing.B) {
	client, members := oneForAll(b, 7)
	s, err := New(Options{Token: "t", Members: func() []Member { return members }, HTTP: client})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		result := s.waitInForce(context.Background(), 7, DefaultWait)
		if result.GetInForce() != targetProcesses {
			b.Fatalf("in force in %d", result.GetInForce())
		}
	}
}

// BenchmarkMaskText masks a text of the target's 48,000 organisations.
func BenchmarkMaskText(b *testing.B) {
	var document bytes.Buffer
	document.WriteString(`{"organisations":[`)
	for i := range 48_000 {
		fmt.Fprintf(&document, `{"name":"org-%d","keySHA256":["%064x"]},`, i, i)
	}
	document.WriteString(`]}`)
	b.SetBytes(int64(document.Len()))
	for b.Loop() {
		newMasker().json(document.Bytes())
	}
}

// A take that fails, such as a reader of the bundle that went away, ends the
// gathering; asks that still run must not be left waiting.
func TestGatherEndsWhenItsReaderFails(t *testing.T) {
	g := gomega.NewWithT(t)
	members := make([]Member, 100)
	ask := func(context.Context, Member) int { return 1 }
	taken := 0
	err := gather(context.Background(), 4, members, ask, func(Member, int) error {
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
	g.Expect(gather(ctx, 4, members, ask, func(Member, int) error { return nil })).To(gomega.MatchError(context.Canceled))
}
