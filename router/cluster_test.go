package router_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/client"
	"github.com/pearyard/pearyard/engine/httpapi"
	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/membership"
	"github.com/pearyard/pearyard/peer"
	"github.com/pearyard/pearyard/router"
	"github.com/pearyard/pearyard/sidecar"
	"github.com/pearyard/pearyard/standin"
	"github.com/pearyard/pearyard/text"
	"github.com/pearyard/pearyard/types"
)

// testQueue is how many requests an engine queues before it refuses.
const testQueue = 32

// backend is one engine with its sidecar.
type backend struct {
	engine    *standin.Engine
	engineURL string
	sidecar   *sidecar.Sidecar
	path      *sidecarPath
	address   string
}

func newPeer(id string, address string) *peer.Peer {
	return peer.New(peer.Options{
		Self:     peer.Identity{ID: types.ProcessID(id), Incarnation: types.NewIncarnation(time.Now()), Address: address},
		Revision: func() types.Revision { return 1 },
	})
}

func newBackend(t *testing.T, name string) *backend { return newJournalledBackend(t, name, nil) }

// newJournalledBackend returns a backend whose generations are in journal, unless that is nil.
func newJournalledBackend(t *testing.T, name string, journal *testJournal) *backend {
	eng := standin.NewEngine(standin.EngineOptions{StepBase: 2 * time.Millisecond, MaxQueue: testQueue})
	engineServer := httptest.NewServer(eng)
	t.Cleanup(engineServer.Close)
	path := &sidecarPath{server: httptest.NewUnstartedServer(nil)}
	address := path.server.Listener.Addr().String()
	p := newPeer(name, address)
	s := sidecar.New(sidecar.Options{
		Peer:          p,
		BackendServer: name,
		Engine:        httpapi.New(httpapi.Options{Address: strings.TrimPrefix(engineServer.URL, "http://")}),
		Recovery: func() sidecar.RecoverySettings {
			return sidecar.RecoverySettings{RouterGrace: time.Second, Retention: time.Second, MoveAfter: time.Second}
		},
		OpenJournal: journal.open(address),
		Revision:    func() types.Revision { return 1 },
		Recorder:    event.Discard(),
		Registerer:  prometheus.NewRegistry(),
	})
	go func() { _ = s.Run(t.Context()) }()
	path.next = p.Handler(journal.serveBeside(s.Handler()))
	path.server.Config.Handler = path
	path.server.Start()
	t.Cleanup(path.server.Close)
	return &backend{engine: eng, engineURL: engineServer.URL, sidecar: s, path: path, address: address}
}

const configFormat = `{"services":[{"name":"m","kind":"model","dependsOn":[{"model":"pear","version":"1"}],"backendServers":[%s]}],
"models":[{"name":"pear","version":"1"}],
"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// configOf returns a configuration of one service with a backend server at each address.
func configOf(sidecars []string) []byte {
	var servers []string
	for i, address := range sidecars {
		servers = append(servers, fmt.Sprintf(`{"name":"s%d","zone":"z%d","sidecar":%q}`, i, i%3, address))
	}
	return fmt.Appendf(nil, configFormat, strings.Join(servers, ","))
}

// cluster is two backends behind one router.
type cluster struct {
	backends []*backend
	url      string
}

func newCluster(t *testing.T) *cluster {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	return &cluster{backends: []*backend{a, b}, url: newRouter(t, a.address, b.address)}
}

// newRouter starts a router for some sidecars and returns its URL for callers.
func newRouter(t *testing.T, sidecars ...string) string {
	r, url := startRouter(t, sidecars)
	NewWithT(t).Expect(r.Refresh()).To(Succeed())
	return url
}

// newRouterWithoutViews starts a router that hasn't built its views yet.
func newRouterWithoutViews(t *testing.T, sidecars ...string) string {
	_, url := startRouter(t, sidecars)
	return url
}

func startRouter(t *testing.T, sidecars []string) (*router.Router, string) {
	conf, findings := text.Parse(configOf(sidecars))
	NewWithT(t).Expect(findings).To(BeEmpty())
	r := router.New(router.Options{
		Peer:       newPeer("r1", ""),
		Text:       func() *text.Config { return conf },
		Fresh:      func() bool { return true },
		Members:    func() *membership.View { return nil },
		Recorder:   event.Discard(),
		Registerer: prometheus.NewRegistry(),
	})
	callers := httptest.NewServer(r.Handler())
	t.Cleanup(callers.Close)
	return r, callers.URL
}

// requests counts the requests that all engines have run.
func (c *cluster) requests() (n uint64) {
	for _, b := range c.backends {
		n += b.engine.Counters().Requests
	}
	return n
}

// crashRunning crashes every engine that runs a request.
func (c *cluster) crashRunning() {
	for _, b := range c.backends {
		if b.engine.Counters().Running > 0 {
			b.engine.Crash()
		}
	}
}

func bodyOf(resp *http.Response) string {
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

// The engine of a long streamed answer dies half way. The stream must continue at the
// next token, from another engine, as one answer.
func TestStreamResumesAfterEngineCrash(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(t)
	caller := client.New(client.Options{Routers: []string{strings.TrimPrefix(cl.url, "http://")}, Key: "key"})
	answer, err := caller.Generate(t.Context(), client.Request{Model: "pear", Prompt: "list the pears", MaxTokens: 200},
		func(index int, _ string) {
			if index == 100 {
				cl.crashRunning()
			}
		})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Resumes).To(BeZero())
	g.Expect(answer.Texts).To(HaveLen(200))
	g.Expect(standin.CheckAnswer("list the pears", answer.Texts)).To(Succeed())
}
