package router_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

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

// site is one engine with its sidecar.
type site struct {
	engine  *standin.Engine
	sidecar *sidecar.Sidecar
	address string
}

func newPeer(id string, address string) *peer.Peer {
	return peer.New(peer.Options{
		Self:     peer.Identity{ID: types.ProcessID(id), Incarnation: types.NewIncarnation(time.Now()), Address: address},
		Revision: func() types.Revision { return 1 },
	})
}

func newSite(t *testing.T, name string) *site {
	eng := standin.NewEngine(standin.EngineOptions{StepBase: 2 * time.Millisecond})
	engineServer := httptest.NewServer(eng)
	t.Cleanup(engineServer.Close)
	p := newPeer(name, "")
	s := sidecar.New(sidecar.Options{
		Peer:          p,
		BackendServer: name,
		Engine:        httpapi.New(httpapi.Options{Address: strings.TrimPrefix(engineServer.URL, "http://")}),
		Dial:          func() sidecar.Dial { return sidecar.Dial{RouterGrace: time.Second, Retain: time.Second, DrainLong: time.Second} },
		Revision:      func() types.Revision { return 1 },
		Recorder:      event.Discard(),
		Registerer:    prometheus.NewRegistry(),
	})
	go func() { _ = s.Run(t.Context()) }()
	server := httptest.NewServer(p.Handler(s.Handler()))
	t.Cleanup(server.Close)
	return &site{engine: eng, sidecar: s, address: strings.TrimPrefix(server.URL, "http://")}
}

const thinText = `{"services":[{"name":"m","kind":"model","dependsOn":[{"model":"pear","version":"1"}],"backendServers":[
{"name":"a","zone":"z1","sidecar":"A"},{"name":"b","zone":"z2","sidecar":"B"}]}],
"models":[{"name":"pear","version":"1"}],
"organisations":[{"name":"o","keySHA256":["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"]}]}`

// A caller streams a long answer. Half way its engine dies. The stream must go
// on at the next token, from another engine, as one unspliced answer.
func TestEngineDiesHalfWay(t *testing.T) {
	g := NewWithT(t)
	a, b := newSite(t, "a"), newSite(t, "b")
	raw := strings.NewReplacer(`"A"`, `"`+a.address+`"`, `"B"`, `"`+b.address+`"`).Replace(thinText)
	in, findings := text.Parse([]byte(raw))
	g.Expect(findings).To(BeEmpty())
	r := router.New(router.Options{
		Peer:       newPeer("r1", ""),
		Text:       func() *text.Text { return in },
		Fresh:      func() bool { return true },
		Members:    func() *membership.View { return nil },
		Recorder:   event.Discard(),
		Registerer: prometheus.NewRegistry(),
	})
	g.Expect(r.Refresh()).To(Succeed())
	callers := httptest.NewServer(r.Handler())
	t.Cleanup(callers.Close)

	req, _ := http.NewRequest(http.MethodPost, callers.URL+"/v1/completions", strings.NewReader(`{"model":"pear","prompt":"list the pears","max_tokens":200,"stream":true}`))
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(200))
	var texts []string
	killed := false
	scanner := bufio.NewScanner(resp.Body)
	done := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "data: [DONE]" {
			done = true
		}
		if text, ok := tokenText(line); ok {
			texts = append(texts, text)
		}
		if len(texts) == 100 && !killed {
			killed = true
			for _, s := range []*site{a, b} {
				if s.engine.Counters().Running > 0 {
					s.engine.Crash()
				}
			}
		}
	}
	g.Expect(done).To(BeTrue())
	g.Expect(texts).To(HaveLen(200))
	g.Expect(standin.CheckAnswer("list the pears", texts)).To(Succeed())
}

func tokenText(line string) (string, bool) {
	_, rest, ok := strings.Cut(line, `"text":"`)
	if !ok {
		return "", false
	}
	text, _, _ := strings.Cut(rest, `"`)
	return text, text != ""
}
