package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A server pauses four times in a draft, and each time another one begins to run it
// beside the first, which then goes on by itself. Those that were left were not
// counted: a route that allows two servers had its draft run by more.
func TestServersThatWereLeftCountAgainstTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pauses := make([]time.Duration, 131)
		for i := range pauses {
			pauses[i] = beat
		}
		for _, i := range []int{21, 41, 61, 81} {
			pauses[i] = setAside
		}
		slow := func(ctx context.Context, a *Attempt) (*Answer, error) { return paced(130, 5*time.Second)(ctx, a) }
		w := &works{}
		b := newBed(firstOf(w.noted(paced(130, pauses...)), w.noted(slow)))
		for id := range b.backend.scripts {
			b.backend.probes[id] = errMute
		}
		req := streamRequest()
		req.Route.MaxAttempts = 2
		sink, err := runStream(t, b, req)
		time.Sleep(time.Second) // questions may be open
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		ran := map[string]bool{}
		for _, id := range w.which(func(*workOn) bool { return true }) {
			ran[id] = true
		}
		t.Logf("%d runs on %d servers", len(w.runs), len(ran))
		g.Expect(len(ran)).To(gomega.BeNumerically("<=", 2), "servers that ran the draft")
	})
}
