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

// All entry VMs of a large site were killed. Each has its configuration again
// at once, but the list of thousands of servers a second later. Callers were
// told that no server takes their request and to come back in 0.4 s, and had no
// retry left when the list was there. They are told when it will be.
func TestCallersAreToldWhenTheListWillBeThere(t *testing.T) {
	g := gomega.NewWithT(t)
	holder := site.NewHolder()
	route := site.Route{Name: "r", Host: "h", Prefix: "/x/", Kind: site.Stream, Public: true, Targets: []site.Target{{Service: "s", Weight: 1}}}
	holder.Offer(&site.Versioned{Config: site.New(1, []site.Route{route}, nil, nil, site.ClientLimits{}), Position: 1})
	recorder := event.Discard()
	h := &handler{holder: holder, exchange: exchange.New(exchange.Options{}), recorder: recorder, stop: newStopping(), listed: func() bool { return false }}
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
	g.Expect(wait).To(gomega.BeNumerically(">=", listWait.Seconds()*(1-spread)))
	g.Expect(wait).To(gomega.BeNumerically("<=", listWait.Seconds()))
	g.Expect(recorder.Entries("a1")[0].Fields).To(gomega.HaveKeyWithValue("missing", "list of servers"))
	g.Expect(send("/none/1").Code).To(gomega.Equal(http.StatusNotFound), "what the configuration alone decides is said at once")
}

// A version has a route that can't be read. Its requests get a refusal that says
// they have not run, not that they are unknown: the operator may write it anew.
// The key isn't asked for, as the route may be public.
func TestRequestsOfARouteThatCannotBeReadAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	holder := site.NewHolder()
	routes := []site.Route{{Host: "h", Prefix: "/x/odd/", RefusalReason: "kind is unknown"}, {Host: "h", Prefix: "/x/", Targets: []site.Target{{Service: "s", Weight: 1}}}}
	holder.Offer(&site.Versioned{Config: site.New(1, routes, nil, []site.KeyedOrganisation{{}}, site.ClientLimits{}), Position: 1})
	recorder := event.Discard()
	h := &handler{holder: holder, exchange: exchange.New(exchange.Options{}), recorder: recorder, stop: newStopping(), listed: func() bool { return true }}
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
