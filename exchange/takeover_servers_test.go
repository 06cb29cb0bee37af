package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A server pauses four times, and each time another one starts to run the stream before
// the first resumes by itself. Guards against not counting the abandoned ones: a stream
// whose route allows two servers was run by more.
func TestAbandonedTakeoversCountAgainstTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pauses := make([]time.Duration, 131)
		for i := range pauses {
			pauses[i] = eventInterval
		}
		for _, i := range []int{21, 41, 61, 81} {
			pauses[i] = preemption
		}
		slow := func(ctx context.Context, a *Attempt) (*Answer, error) { return paced(130, 5*time.Second)(ctx, a) }
		w := &workLog{}
		b := newTestbed(inOrder(w.recorded(paced(130, pauses...)), w.recorded(slow)))
		for id := range b.backend.scripts {
			b.backend.probes[id] = errHang
		}
		req := streamRequest()
		req.Route.MaxAttempts = 2
		sink, err := runStream(t, b, req)
		time.Sleep(time.Second) // probes may be in flight
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		ran := map[string]bool{}
		for _, id := range w.serversWhere(func(*workSpan) bool { return true }) {
			ran[id] = true
		}
		t.Logf("%d runs on %d servers", len(w.runs), len(ran))
		g.Expect(len(ran)).To(gomega.BeNumerically("<=", 2), "servers that ran the stream")
	})
}
