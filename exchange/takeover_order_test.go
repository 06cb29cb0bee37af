package exchange

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// startOver sends the stream from its first event, whatever event it is to resume
// after.
func startOver(ctx context.Context, a *Attempt) (*Answer, error) {
	fromStart := *a
	fromStart.ResumeAfter = ""
	return streams(130, eventInterval, nil)(ctx, &fromStart)
}

// A healthy server pauses, and the one that is asked to take over starts the stream
// from its first event, which is of no use. Guards against ending the first server's
// attempt before that event is checked: the response was cut off.
func TestPausingServerIsNotLeftForAUselessEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(preemption), startOver))
		req := streamRequest()
		req.Route.MaxAttempts = 2
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}
