package router_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	streampb "github.com/pearyard/pearyard/rpc/stream"
	"github.com/pearyard/pearyard/types"
)

// losingSidecar sends one token of the first attempt, then reports it lost, and refuses
// all later attempts.
type losingSidecar struct{ attempts atomic.Int64 }

func (l *losingSidecar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != streampb.PathGenerate {
		return // the router cancels the lost attempt
	}
	var req streampb.GenerateRequest
	_ = streampb.NewReader(r.Body).Read(&req)
	attempt := req.GetLineage()[len(req.GetLineage())-1].GetAttempt()
	if l.attempts.Add(1) > 1 {
		_ = streampb.Write(w, &streampb.Frame{Body: &streampb.Frame_Refused{Refused: &streampb.Refused{Code: string(types.CodeNoBackend)}}})
		return
	}
	_ = streampb.Write(w, &streampb.Frame{Body: &streampb.Frame_Accepted{Accepted: &streampb.Accepted{Lineage: req.GetLineage()}}})
	_ = streampb.Write(w, &streampb.Frame{Body: &streampb.Frame_Tokens{Tokens: &streampb.Tokens{Attempt: attempt, Tokens: []*streampb.Token{{Id: 1, Text: " a"}}}}})
	_ = streampb.Write(w, &streampb.Frame{Body: &streampb.Frame_Lost{Lost: &streampb.Lost{}}})
}

// sidecarCount is more than a request can avoid at once, so that there is always one to
// send an attempt to.
const sidecarCount = 6

// All engines fail while an answer is generated, and the router looks for one to resume
// on until the caller's timeout. It must not flood the sidecars that refuse: without a
// backoff it sent 150 attempts a second.
func TestResumeBacksOffBetweenRefusals(t *testing.T) {
	g := NewWithT(t)
	sidecars := &losingSidecar{}
	g.Expect(sidecars.stream(t, "1")).To(ContainSubstring(`"code":"deadline_exceeded"`))
	g.Expect(sidecars.attempts.Load()).To(BeNumerically("<", 40))
}

// The same with a long timeout. The caller must be told within seconds that no backend
// server resumes its answer, instead of waiting for its timeout, which is half an hour
// by default.
func TestResumeGivesUpWhenAllRefuse(t *testing.T) {
	g := NewWithT(t)
	begun := time.Now()
	g.Expect((&losingSidecar{}).stream(t, "20")).To(ContainSubstring(`"code":"no_backend_server"`))
	g.Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
}

// stream sends a request to a router before sidecarCount such sidecars and returns the
// whole response body.
func (l *losingSidecar) stream(t *testing.T, seconds string) string {
	var addresses []string
	for range sidecarCount {
		server := httptest.NewServer(l)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	url := newRouter(t, addresses...)
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"pear","prompt":"p","max_tokens":5,"stream":true}`))
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Pearyard-Timeout", seconds)
	resp, err := http.DefaultClient.Do(req)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	return bodyOf(resp)
}
