package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against streams that are given up, and servers that count as lost, because this
// process was frozen while it waited for the answer to a probe.
func TestProbeDuringAFreezeIsRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		probe error // of the probes after the freeze
		sends int
	}{
		"the server answers the next probe": {sends: 1},
		"the server is lost, too":           {probe: errHang, sends: 5}, // all that the route allows,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				pauses := []time.Duration{eventInterval, 3 * time.Second} // the first event is that of index 1
				for range 20 {
					pauses = append(pauses, eventInterval)
				}
				b := newTestbed(inOrder(paced(20, pauses...)), "a1")
				b.backend.frozen, b.backend.probes["a1"] = 1200*time.Millisecond, c.probe
				_, err := runStream(t, b, streamRequest())
				time.Sleep(time.Second) // probes may be in flight
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(len(b.backend.sent())).To(gomega.Equal(c.sends))
			})
		})
	}
}
