package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// Guards against refusing a stream that must run once although a server that was full has room within its deadline.
func TestStreamThatMustRunOnceIsServedWhenAServerHasRoomAgain(t *testing.T) {
	for _, full := range []time.Duration{10 * time.Millisecond, 45 * time.Millisecond, 95 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newTestbed(everywhere(refusesUntil(time.Now().Add(full), Busy, streams(3, eventInterval, nil))), "a1", "b1")
			req := streamRequest()
			req.Route.Resumable = false
			sink, err := runStream(t, b, req)
			g.Expect(err).NotTo(gomega.HaveOccurred(), "servers full for %v", full)
			g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 3)))
			sent := b.backend.sent()
			for _, a := range sent[2:] {
				g.Expect(a.SentBefore).To(gomega.BeTrue(), "the connection of such a refusal is closed")
			}
		})
	}
}

// Guards against sending a stream that must run once to another server after one that may have run it.
func TestStreamThatMustRunOnceIsNotSentAgainAfterARepeatedSendBroke(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(refuses(Busy), breaks(), streams(3, eventInterval, nil)), "a1")
		req := streamRequest()
		req.Route.Resumable = false
		_, err := runStream(t, b, req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(2))
	})
}

// Guards against a stream that must run once not being sent to a server that has started anew.
func TestStreamThatMustRunOnceIsSentToTheNextStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var b *testbed
		b = newTestbed(inOrder(func(_ context.Context, a *Attempt) (*Answer, error) {
			b.dir.RecordRestart(a.Server, directory.Start{ID: "a2", Born: 2}, time.Now())
			return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
		}, streams(3, eventInterval, nil)), "a1")
		req := streamRequest()
		req.Route.Resumable = false
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 3)))
	})
}

// Guards against a stream that must run once not being sent again to a server that no send has reached.
func TestStreamThatMustRunOnceIsSentAgainAfterAnUnreachedSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(refuses(Unreachable), streams(3, eventInterval, nil)), "a1")
		server := b.dir.View().Service("s")[0]
		time.AfterFunc(200*time.Millisecond, func() { server.MarkAlive(time.Now()) })
		req := streamRequest()
		req.Route.Resumable = false
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 3)))
	})
}

// Guards against a stream that may be resumed not being sent again to a server that was full.
func TestStreamThatMayBeResumedIsSentAgainToAServerThatWasFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(refuses(Busy), refuses(Busy), streams(3, eventInterval, nil)), "a1")
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 3)))
		sent := b.backend.sent()
		g.Expect([]bool{sent[0].SentBefore, sent[1].SentBefore, sent[2].SentBefore}).To(gomega.Equal([]bool{false, true, true}))
	})
}
