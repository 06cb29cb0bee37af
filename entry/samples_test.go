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

// A stopping process estimates the duration of a route's requests by the longest one.
// The samples are all requests that were served, from arrival to end, and those that
// run; requests that were not served don't count.
func TestServedRequestsAreSampled(t *testing.T) {
	for _, route := range []*site.Route{{Name: "stream", Kind: site.Stream}, {Name: "call", Kind: site.AtMostOnce}} {
		t.Run(route.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				stop := newShutdownState()
				e := modelEntry(stop, modelServer{reached: &sync.Map{}})
				h := &handler{configHolder: e.configHolder, exchange: e.exchange, recorder: e.recorder, shutdown: e.shutdown, hasServers: e.anyServerListed}
				longest := func() time.Duration {
					return time.Duration(float64(stop.durationsOf(route).estimate(time.Now())) / durationMargin)
				}
				for range minSamples {
					runHandler(t.Context(), h, "/"+route.Name+"/9s")
				}
				g.Expect(longest()).To(gomega.BeNumerically("~", 9*time.Second, 200*time.Millisecond), "served requests")

				ctx, cancel := context.WithCancel(t.Context())
				left := make(chan struct{})
				go func() {
					defer close(left)
					runHandler(ctx, h, "/"+route.Name+"/20s")
				}()
				time.Sleep(15 * time.Second)
				g.Expect(longest()).To(gomega.BeNumerically("~", 15*time.Second, 200*time.Millisecond), "a running request")
				cancel()
				<-left
				g.Expect(longest()).To(gomega.BeNumerically("~", 9*time.Second, 200*time.Millisecond), "a request whose caller left doesn't count")
			})
		})
	}
}

// runHandler runs the handler for a request.
func runHandler(ctx context.Context, h *handler, path string) {
	// The handler of an aborted stream panics with http.ErrAbortHandler.
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
