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

// testQueue is how many requests wait for an engine's batch before it refuses.
const testQueue = 32

// site is one engine with its sidecar.
type site struct {
	engine    *standin.Engine
	engineURL string
	sidecar   *sidecar.Sidecar
	address   string
}

func newPeer(id string, address string) *peer.Peer {
	return peer.New(peer.Options{
		Self:     peer.Identity{ID: types.ProcessID(id), Incarnation: types.NewIncarnation(time.Now()), Address: address},
		Revision: func() types.Revision { return 1 },
	})
}

func newSite(t *testing.T, name string) *site {
	eng := standin.NewEngine(standin.EngineOptions{StepBase: 2 * time.Millisecond, MaxQueue: testQueue})
	engineServer := httptest.NewServer(eng)
	t.Cleanup(engineServer.Close)
	p := newPeer(name, "")
	s := sidecar.New(sidecar.Options{
		Peer:          p,
		BackendServer: name,
		Engine:        httpapi.New(httpapi.Options{Address: strings.TrimPrefix(engineServer.URL, "http://")}),
		Dial: func() sidecar.Dial {
			return sidecar.Dial{RouterGrace: time.Second, Retain: time.Second, DrainLong: time.Second}
		},
		Revision:   func() types.Revision { return 1 },
		Recorder:   event.Discard(),
		Registerer: prometheus.NewRegistry(),
	})
	go func() { _ = s.Run(t.Context()) }()
	server := httptest.NewServer(p.Handler(s.Handler()))
	t.Cleanup(server.Close)
	return &site{engine: eng, engineURL: engineServer.URL, sidecar: s, address: strings.TrimPrefix(server.URL, "http://")}
}

const siteText = `{"services":[{"name":"m","kind":"model","dependsOn":[{"model":"pear","version":"1"}],"backendServers":[%s]}],
"models":[{"name":"pear","version":"1"}],
"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// textOf returns a text of one service with a backend server at each address.
func textOf(sidecars []string) []byte {
	var servers []string
	for i, address := range sidecars {
		servers = append(servers, fmt.Sprintf(`{"name":"s%d","zone":"z%d","sidecar":%q}`, i, i%3, address))
	}
	return fmt.Appendf(nil, siteText, strings.Join(servers, ","))
}

// bed is two sites behind one router.
type bed struct {
	sites []*site
	url   string
}

func newBed(t *testing.T) *bed {
	a, b := newSite(t, "a"), newSite(t, "b")
	return &bed{sites: []*site{a, b}, url: newRouter(t, a.address, b.address)}
}

// newRouter starts a router before some sidecars and returns its URL for callers.
func newRouter(t *testing.T, sidecars ...string) string {
	r, url := startRouter(t, sidecars)
	NewWithT(t).Expect(r.Refresh()).To(Succeed())
	return url
}

// newUnrefreshed starts one that hasn't joined its text with the members yet.
func newUnrefreshed(t *testing.T, sidecars ...string) string {
	_, url := startRouter(t, sidecars)
	return url
}

func startRouter(t *testing.T, sidecars []string) (*router.Router, string) {
	in, findings := text.Parse(textOf(sidecars))
	NewWithT(t).Expect(findings).To(BeEmpty())
	r := router.New(router.Options{
		Peer:       newPeer("r1", ""),
		Text:       func() *text.Config { return in },
		Fresh:      func() bool { return true },
		Members:    func() *membership.View { return nil },
		Recorder:   event.Discard(),
		Registerer: prometheus.NewRegistry(),
	})
	callers := httptest.NewServer(r.Handler())
	t.Cleanup(callers.Close)
	return r, callers.URL
}

// requests counts what any engine has run.
func (b *bed) requests() (n uint64) {
	for _, s := range b.sites {
		n += s.engine.Counters().Requests
	}
	return n
}

// crashRunning crashes every engine that runs something.
func (b *bed) crashRunning() {
	for _, s := range b.sites {
		if s.engine.Counters().Running > 0 {
			s.engine.Crash()
		}
	}
}

func bodyOf(resp *http.Response) string {
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}

// A caller streams a long answer. Half way its engine dies. The stream must go
// on at the next token, from another engine, as one unspliced answer.
func TestEngineDiesHalfWay(t *testing.T) {
	g := NewWithT(t)
	bed := newBed(t)
	caller := client.New(client.Options{Routers: []string{strings.TrimPrefix(bed.url, "http://")}, Key: "key"})
	answer, err := caller.Generate(t.Context(), client.Request{Model: "pear", Prompt: "list the pears", MaxTokens: 200},
		func(index int, _ string) {
			if index == 100 {
				bed.crashRunning()
			}
		})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Returns).To(BeZero())
	g.Expect(answer.Texts).To(HaveLen(200))
	g.Expect(standin.CheckAnswer("list the pears", answer.Texts)).To(Succeed())
}
