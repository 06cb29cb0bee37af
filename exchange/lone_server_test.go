package exchange

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
)

// Guards against a retry that is taken from the budget for a second server that there is not.
func TestNoRetryIsTakenWithoutASecondServer(t *testing.T) {
	for name, first := range map[string]script{"hedge": answers(http.StatusOK, "slow", 250*time.Millisecond), "retry": breaks()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(map[string][]script{"a1": {first, breaks()}, "b1": {answers(http.StatusOK, "x", time.Millisecond)}}, "a1")
				b.opts.RetryRatio, b.opts.RetryExtra = 0, func() float64 { return 1 }
				_, _ = b.Call(t.Context(), request(site.Idempotent))
				time.Sleep(time.Second)
				b.list(2, nil, "a1", "b1")
				next := request(site.Idempotent)
				next.ID = "r2"
				reply, err := b.Call(t.Context(), next)
				time.Sleep(time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(string(reply.Body)).To(gomega.Equal("x"))
			})
		})
	}
}
