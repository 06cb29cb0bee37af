package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A healthy server reads a prompt for three seconds, and its probe answers are lost
// because the link of this VM is saturated. No other server may run the stream. Guards
// against refusing the caller after a second although the server is working on the
// response.
func TestServerReadingAPromptIsNotGivenUpForLostProbes(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"the route allows one server": func(r *Request) { r.Route.MaxAttempts = 1 },
		"it can't be resumed":         func(r *Request) { r.Route.Resumable = false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				pauses := []time.Duration{eventInterval, 3 * time.Second} // the first event is that of index 1
				for range 20 {
					pauses = append(pauses, eventInterval)
				}
				b := newTestbed(inOrder(paced(20, pauses...)), "a1")
				b.backend.probes["a1"] = errHang
				req := streamRequest()
				change(req)
				sink, err := runStream(t, b, req)
				time.Sleep(time.Second) // probes may be in flight
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.HaveLen(20))
			})
		})
	}
}
