package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
)

// A stopping process takes what the longest request of a route could finish. What
// it goes by has to come from the requests that it serves: each that was served,
// from its arrival to its end, none that was not, and those that run now.
func TestWhatIsServedIsTheSample(t *testing.T) {
	for _, route := range []*site.Route{{Name: "stream", Kind: site.Stream}, {Name: "call", Kind: site.AtMostOnce}} {
		t.Run(route.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				stop := newStopping()
				e := modelEntry(stop, modelServer{reached: &sync.Map{}})
				h := &handler{holder: e.holder, exchange: e.exchange, recorder: e.recorder, stop: e.stop, listed: e.listed}
				longest := func() time.Duration { return time.Duration(float64(stop.of(route).need(time.Now())) / durationMargin) }
				for range enoughSamples {
					sendTo(t.Context(), h, "/"+route.Name+"/9s")
				}
				g.Expect(longest()).To(gomega.BeNumerically("~", 9*time.Second, 200*time.Millisecond), "those that were served")

				ctx, cancel := context.WithCancel(t.Context())
				left := make(chan struct{})
				go func() {
					defer close(left)
					sendTo(ctx, h, "/"+route.Name+"/20s")
				}()
				time.Sleep(15 * time.Second)
				g.Expect(longest()).To(gomega.BeNumerically("~", 15*time.Second, 200*time.Millisecond), "one that runs")
				cancel()
				<-left
				g.Expect(longest()).To(gomega.BeNumerically("~", 9*time.Second, 200*time.Millisecond), "its caller left")
			})
		})
	}
}

// sendTo sends a request and returns when its handler has ended.
func sendTo(ctx context.Context, h *handler, path string) {
	// A stream that was cut ends its handler by this panic.
	defer func() {
		if err := recover(); err != nil && err != http.ErrAbortHandler {
			panic(err)
		}
	}()
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("")).WithContext(ctx)
	r.Host = "h"
	r.Header.Set("Attempt-Id", path)
	r.Header.Set("Deadline-Ms", "25000")
	h.ServeHTTP(httptest.NewRecorder(), r)
}
