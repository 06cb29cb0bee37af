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

// losing gives one token of the first attempt, then loses it, and refuses all later ones.
type losing struct{ attempts atomic.Int64 }

func (l *losing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != streampb.PathGenerate {
		return // the router frees the attempt that was lost
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

// manySidecars is more than a request can avoid at once, so that there is
// always one to ask.
const manySidecars = 6

// All engines of a site go down while an answer runs. The router looks for one
// to go on with until the caller's time is over, and must not flood the
// sidecars that refuse meanwhile: without a pause it asked 150 times a second.
func TestResumePacesItsAttempts(t *testing.T) {
	g := NewWithT(t)
	sidecars := &losing{}
	g.Expect(sidecars.answer(t, "1")).To(ContainSubstring(`"code":"deadline_exceeded"`))
	g.Expect(sidecars.attempts.Load()).To(BeNumerically("<", 40))
}

// The same, and the caller has set no time: it must not wait for the text's
// half hour, but is told after a few seconds that nobody goes on with its answer.
func TestResumeGivesUpWhenAllRefuse(t *testing.T) {
	g := NewWithT(t)
	begun := time.Now()
	g.Expect((&losing{}).answer(t, "20")).To(ContainSubstring(`"code":"no_backend_server"`))
	g.Expect(time.Since(begun)).To(BeNumerically("<", 10*time.Second))
}

// answer streams a request before two such sidecars and returns all that came.
func (l *losing) answer(t *testing.T, seconds string) string {
	var addresses []string
	for range manySidecars {
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
