package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
	"github.com/pearyard/pearyard/suspect"
)

// slowRest answers with 300 KB at once and the rest a while later.
type slowRest struct {
	modelServer
	rest time.Duration
}

type restBody struct {
	io.Reader
	wait time.Duration
	sent bool
	ctx  context.Context
}

func (b *restBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && !b.sent {
		b.sent = true
		time.Sleep(b.wait)
		return copy(p, "end"), nil
	}
	return n, err
}

func (*restBody) Close() error { return nil }

func (s slowRest) Open(ctx context.Context, _ *exchange.Attempt) (*exchange.Answer, error) {
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: &restBody{Reader: strings.NewReader(strings.Repeat("x", 300<<10)), wait: s.rest, ctx: ctx}}, nil
}

// Large answers take three seconds to pass on. Their time counted until their
// first 256 KB were there: what is unfinished was missing from the sample again. A
// stopping process took such a call with 1.5 s left and cut it.
func TestTimeOfACallHasTheRestOfItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		stop := newStopping()
		e := modelEntry(stop, modelServer{reached: &sync.Map{}})
		e.exchange = exchange.New(exchange.Options{
			Directory: e.directory, Backend: slowRest{modelServer{reached: &sync.Map{}}, 3 * time.Second}, Services: e.service, Recorder: e.recorder,
			Suspects: suspect.New(suspect.Options{Self: "m", Recorder: e.recorder}), Metrics: prometheus.NewRegistry(),
			RetryWindow: 10 * time.Second, RetryExtra: func() float64 { return 10 },
		})
		h := &handler{holder: e.holder, exchange: e.exchange, recorder: e.recorder, stop: e.stop, listed: e.listed}
		for i := range durationSamples {
			r := httptest.NewRequest(http.MethodPost, "/call/60ms", strings.NewReader(""))
			r.Host = "h"
			r.Header.Set("Attempt-Id", fmt.Sprint("a", i))
			r.Header.Set("Deadline-Ms", "25000")
			w := httptest.NewRecorder()
			began := time.Now()
			h.ServeHTTP(w, r)
			g.Expect(w.Code).To(gomega.Equal(http.StatusOK))
			g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 3*time.Second))
		}
		g.Expect(stop.need(&site.Route{Name: "call", Kind: site.AtMostOnce}, time.Now())).To(gomega.BeNumerically(">=", 3*time.Second))
	})
}
