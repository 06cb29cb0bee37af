package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/backing/httpapi"
	enginehttp "github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/standin"
)

// listenLoopback opens a listener on the loopback interface and closes it after the test.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// A router without work is stopped as planned. It announced that to the others, but ended
// before any of them had received it. They treated it as a failure: a member that was
// alive no longer answered probes, and was suspected and declared dead.
func TestPlannedStopIsHeardBeforeTheEnd(t *testing.T) {
	g := NewWithT(t)
	var delay atomic.Int64
	peers := listenLoopback(t)
	other, err := NewSidecar(SidecarOptions{
		Common:        Common{ID: "other", Zone: "z1", Peers: peers, Logger: log.NewNopLogger()},
		BackendServer: "a", Engine: enginehttp.New(enginehttp.Options{Address: "127.0.0.1:9"}),
	})
	g.Expect(err).NotTo(HaveOccurred())
	handler := other.peerHandler(nil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(delay.Load()))
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(peers) }()
	t.Cleanup(func() { _ = server.Close() })

	platform := httptest.NewServer(standin.NewPlatform(standin.PlatformOptions{}))
	t.Cleanup(platform.Close)
	at := httpapi.Options{Address: strings.TrimPrefix(platform.URL, "http://")}
	router, err := NewRouter(RouterOptions{
		Common: Common{ID: "r", Zone: "z1", Peers: listenLoopback(t), Seeds: []string{other.Address()}, Logger: log.NewNopLogger(),
			Platform: Platform{Table: httpapi.NewTable(at), Objects: httpapi.NewObjects(at), Weights: httpapi.NewWeights(at)}},
		Callers: listenLoopback(t),
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- router.Run(ctx) }()
	state := func() membership.State {
		m, _ := other.members.Snapshot().ByID("r")
		return m.State
	}
	g.Eventually(state, "5s").Should(Equal(membership.StateAlive))
	g.Eventually(func() bool { _, ok := router.members.Snapshot().ByID("other"); return ok }, "5s").Should(BeTrue())

	delay.Store(int64(100 * time.Millisecond)) // slower network, within a member's response timeout
	stop()
	g.Eventually(ended, "10s").Should(Receive(BeNil()))
	g.Expect(state()).To(Equal(membership.StateLeaving))
}
