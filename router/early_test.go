package router_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A router starts, and its text comes in force. A caller is there before the
// router's loop has joined the text with the members: it is told that the
// service isn't ready, and "not run", although another try may have run before.
func TestCallerThatIsThereBeforeTheFirstViewsIsServed(t *testing.T) {
	g := NewWithT(t)
	url := newUnrefreshed(t, newSite(t, "a").address, newSite(t, "b").address)
	req, _ := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"pear","prompt":"p","max_tokens":5}`))
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), bodyOf(resp))
}
