package entry

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/site"
)

// After a restart, a process of a large site has its configuration at once but the list
// of thousands of servers only a second later. With a Retry-After of 0.4 s, callers had
// no retries left when the list arrived. The Retry-After covers that time.
func TestRetryAfterCoversTransferOfServerList(t *testing.T) {
	g := gomega.NewWithT(t)
	holder := site.NewHolder()
	route := site.Route{Name: "r", Host: "h", Prefix: "/x/", Kind: site.Stream, Public: true, Targets: []site.Target{{Service: "s", Weight: 1}}}
	holder.Offer(&site.Versioned{Config: site.New(1, []site.Route{route}, nil, nil, site.ClientLimits{}), Position: 1})
	recorder := event.Discard()
	h := &handler{configHolder: holder, exchange: exchange.New(exchange.Options{}), recorder: recorder, shutdown: newShutdownState(), hasServers: func() bool { return false }}
	send := func(path string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
		r.Host = "h"
		r.Header.Set("Attempt-Id", "a1")
		r.Header.Set("Deadline-Ms", "25000")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
	answer := send("/x/1")
	g.Expect(answer.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	wait, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(wait).To(gomega.BeNumerically(">=", listRetryDelay.Seconds()*(1-jitter)))
	g.Expect(wait).To(gomega.BeNumerically("<=", listRetryDelay.Seconds()))
	g.Expect(recorder.Entries("a1")[0].Fields).To(gomega.HaveKeyWithValue("missing", "list of servers"))
	g.Expect(send("/none/1").Code).To(gomega.Equal(http.StatusNotFound), "what the configuration alone decides doesn't wait for the list")
}

// A configuration has a route that can't be read. Requests to it are refused as not run
// rather than as unknown, since the operator may correct the route. The key isn't
// checked, as the route may be public.
func TestRequestsToInvalidRouteAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	holder := site.NewHolder()
	routes := []site.Route{{Host: "h", Prefix: "/x/odd/", RefusalReason: "kind is unknown"}, {Host: "h", Prefix: "/x/", Targets: []site.Target{{Service: "s", Weight: 1}}}}
	holder.Offer(&site.Versioned{Config: site.New(1, routes, nil, []site.KeyedOrganisation{{}}, site.ClientLimits{}), Position: 1})
	recorder := event.Discard()
	h := &handler{configHolder: holder, exchange: exchange.New(exchange.Options{}), recorder: recorder, shutdown: newShutdownState(), hasServers: func() bool { return true }}
	r := httptest.NewRequest(http.MethodPost, "/x/odd/1", strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Attempt-Id", "a1")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	g.Expect(w.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(recorder.Entries("a1")[0].Fields).To(gomega.HaveKeyWithValue("why", "kind is unknown"))
	g.Expect(recorder.Entries("a1")[0].Fields).To(gomega.HaveKeyWithValue("ended_by", "configuration"))
}
