package router_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A request that arrives when a configuration is in force but the router's loop has
// not combined it with the members must be served. It used to be refused with "not
// run", although an earlier request with its key may have run.
func TestRequestBeforeFirstRefreshIsServed(t *testing.T) {
	g := NewWithT(t)
	url := newRouterWithoutViews(t, newBackend(t, "a").address, newBackend(t, "b").address)
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"pear","prompt":"p","max_tokens":5}`))
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), bodyOf(resp))
}
