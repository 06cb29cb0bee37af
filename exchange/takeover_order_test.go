package exchange

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// anew sends the stream from its first event, whatever it was asked to go on after.
func anew(ctx context.Context, a *Attempt) (*Answer, error) {
	from := *a
	from.After = ""
	return streams(130, beat, nil)(ctx, &from)
}

// A sound server pauses in a draft, and the one that is asked to go on begins the
// draft anew. Its first event is of no use, but the first server's attempt was
// ended for it before that was looked at: the caller's answer was cut in its middle.
func TestPausingServerIsNotLeftForAnEventOfNoUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(firstOf(pausing(setAside), anew))
		req := streamRequest()
		req.Route.MaxAttempts = 2
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}
