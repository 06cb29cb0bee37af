package exchange

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Each server that is asked pauses four times for longer than callers allow. Guards against
// not counting a server that the stream was taken from: a stream whose route allows two
// servers was run by more.
func TestServersThatAStreamLeftCountAgainstTheRoute(t *testing.T) {
	for _, allowed := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			pauses := slices.Repeat([]time.Duration{eventInterval}, 131)
			for _, i := range []int{21, 41, 61, 81} {
				pauses[i] = preemption
			}
			w := &workLog{}
			b := newTestbed(inOrder(w.recorded(paced(130, pauses...))))
			req := streamRequest()
			req.Route.MaxAttempts = allowed
			sink, err := runStream(t, b, req)
			time.Sleep(time.Second) // probes may be in flight
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
			g.Expect(w.runs).To(gomega.HaveLen(allowed))
		})
	}
}
