package exchange

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// A sound server pauses in a draft; all others refuse it for want of room while it
// does. Then it breaks off, and there is room again. What was refused beside a
// server at work counted as tried for the draft: its answer was cut without a try.
func TestRefusalsBesideAServerAtWorkAreNoTriesAfterItsBreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		plays := []script{pausesAndBreaks}
		for range 2 * notRunTries {
			plays = append(plays, refuses(Busy))
		}
		next := firstOf(append(plays, streams(130, beat, nil))...)["a1"]
		scripts, ids := map[string][]script{}, []string{}
		for i := range 16 {
			id := fmt.Sprintf("%c%d", 'a'+i%2, i)
			ids = append(ids, id)
			scripts[id] = next
		}
		sink, err := runStream(t, newBed(scripts, ids...), streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}
