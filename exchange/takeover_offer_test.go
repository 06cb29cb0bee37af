package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// A sound server pauses, the one that holds the copy is asked to go on, and the
// first goes on by itself. Later it breaks off. Its copy was used up by the offer
// that was not needed: the prompt is read again.
func TestOfferThatWasNotNeededLeavesACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		slow := func(ctx context.Context, a *Attempt) (*Answer, error) { return paced(130, 5*time.Second)(ctx, a) }
		goesOnAndBreaks := func(ctx context.Context, a *Attempt) (*Answer, error) {
			ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
			context.AfterFunc(ctx, cancel)
			pauses := make([]time.Duration, 401)
			for i := range pauses {
				pauses[i] = beat
			}
			pauses[51] = 600 * time.Millisecond
			return paced(400, pauses...)(ctx, a)
		}
		b := newBed(firstOf(goesOnAndBreaks, slow, streams(400, beat, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 400)))
		sent := b.backend.sent()
		g.Expect(sent).To(gomega.HaveLen(3))
		g.Expect(sent[2].From).NotTo(gomega.BeNil(), "goes on from a copy")
	})
}
