package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A server falls silent beside twenty idle ones, and its stream resumes elsewhere only
// four seconds later. Guards against lines that don't say to which server it was
// offered, or why to none: the retry budget was spent.
func TestLinesSayWhyASilentStreamIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(3 * time.Second)))
		b.opts.SharedBudget = &stingy{until: time.Now().Add(time.Hour)}
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred(), "the server went on")
		var logged []string
		for _, entry := range b.recorder.Entries("r1") {
			if entry.ID == EventNotOffered.ID() {
				logged = append(logged, entry.Fields["err"])
			}
		}
		g.Expect(logged).To(gomega.Equal([]string{ErrBudget.Error()}), "once, however often a takeover is tried")
	})
}
