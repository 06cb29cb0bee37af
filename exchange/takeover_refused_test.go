package exchange

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// A healthy server pauses; all others refuse to take the stream over for lack of room.
// Then it breaks off, and there is room again. Guards against counting the refusals
// during the pause as tries: the response was cut off without a try.
func TestRefusedTakeoversAreNotCountedAfterABreak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		plays := []script{pausesAndBreaks}
		for range 2 * maxNotRunTries {
			plays = append(plays, refuses(Busy))
		}
		next := inOrder(append(plays, streams(130, eventInterval, nil))...)["a1"]
		scripts, ids := map[string][]script{}, []string{}
		for i := range 16 {
			id := fmt.Sprintf("%c%d", 'a'+i%2, i)
			ids = append(ids, id)
			scripts[id] = next
		}
		sink, err := runStream(t, newTestbed(scripts, ids...), streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}
