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

// slowBackend responds with 300 KB at once and the rest later.
type slowBackend struct {
	modelServer
	rest time.Duration
}

// restBody is the body of such a response.
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

func (s slowBackend) Open(ctx context.Context, _ *exchange.Attempt) (*exchange.Answer, error) {
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: &restBody{Reader: strings.NewReader(strings.Repeat("x", 300<<10)), wait: s.rest, ctx: ctx}}, nil
}

// The duration of a large response counts until all of it has been passed on. When it
// counted only until the first 256 KB were there, a stopping process accepted a call of
// three seconds with 1.5 s left and cut it.
func TestCallDurationIncludesRestOfResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		stop := newShutdownState()
		e := modelEntry(stop, modelServer{reached: &sync.Map{}})
		e.exchange = exchange.New(exchange.Options{
			Directory: e.directory, Backend: slowBackend{modelServer{reached: &sync.Map{}}, 3 * time.Second}, Services: e.findService, Recorder: e.recorder,
			Suspects: suspect.New(suspect.Options{Self: "m", Recorder: e.recorder}), Metrics: prometheus.NewRegistry(),
			RetryWindow: 10 * time.Second, RetryExtra: func() float64 { return 10 },
		})
		h := &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: e.shutdown, hasServers: e.anyServerListed}
		for i := range maxSamples {
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
		g.Expect(stop.estimate(&site.Route{Name: "call", Kind: site.AtMostOnce}, time.Now())).To(gomega.BeNumerically(">=", 3*time.Second))
	})
}
