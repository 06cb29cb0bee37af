package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A sound server reads a draft's prompt for three seconds, and its signs of life
// are lost, as the link of this VM is full. No other may run the draft. The caller
// was refused after a second though the server was at work on the answer.
func TestServerThatReadsAPromptIsNotGivenUpForAMuteLink(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"the route allows one server": func(r *Request) { r.Route.MaxAttempts = 1 },
		"it can't be resumed":         func(r *Request) { r.Route.Resumable = false },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				pauses := []time.Duration{beat, 3 * time.Second} // the first event is that of index 1
				for range 20 {
					pauses = append(pauses, beat)
				}
				b := newBed(firstOf(paced(20, pauses...)), "a1")
				b.backend.probes["a1"] = errMute
				req := streamRequest()
				change(req)
				sink, err := runStream(t, b, req)
				time.Sleep(time.Second) // questions may be open
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.HaveLen(20))
			})
		})
	}
}
