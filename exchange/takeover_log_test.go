package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A server falls silent, and its stream is not taken over because the retry budget is
// spent. Guards against a log that doesn't say so: a stream resumed only after four
// seconds although twenty other servers were idle, and no line gave the reason.
func TestReasonForNoTakeoverIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(3 * time.Second)))
		b.opts.SharedBudget = &spentBudget{until: time.Now().Add(time.Hour)}
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred(), "the server resumes by itself")
		var logged []string
		for _, entry := range b.recorder.Entries("r1") {
			if entry.ID == EventNotOffered.ID() {
				logged = append(logged, entry.Fields["err"])
			}
		}
		g.Expect(logged).To(gomega.Equal([]string{ErrBudget.Error()}), "once, however often a takeover is tried")
	})
}
