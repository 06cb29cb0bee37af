package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A server fell silent beside twenty idle ones, and its stream went on elsewhere
// only four seconds later. No line between told to whom it had been offered, or
// why to nobody: the retry budget was spent.
func TestLinesTellWhyASilentStreamIsNotOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(pausing(3 * time.Second)))
		b.opts.Lender = &stingy{until: time.Now().Add(time.Hour)}
		_, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred(), "the server went on")
		var told []string
		for _, entry := range b.recorder.Entries("r1") {
			if entry.ID == EventNotOffered.ID() {
				told = append(told, entry.Fields["err"])
			}
		}
		g.Expect(told).To(gomega.Equal([]string{ErrBudget.Error()}), "once, however often it is looked for")
	})
}
