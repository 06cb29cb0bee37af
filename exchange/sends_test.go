package exchange

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/directory"
)

// refusedLate plays a server that refuses the first send and runs the second one, to which the
// refusal of the first passes for the answer. runs counts what it runs.
func refusedLate(runs *int) map[string][]script {
	var mu sync.Mutex
	return everywhere(func(_ context.Context, a *Attempt) (*Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		if a.SentBefore {
			*runs++
		}
		return nil, &NotRunError{Reason: Busy, Err: io.ErrClosedPipe}
	})
}

// Guards against a stream that must run once being told "not run" by a late refusal of an earlier send.
func TestStreamThatMustRunOnceIsSentToAServerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		runs := 0
		b := newTestbed(refusedLate(&runs))
		req := streamRequest()
		req.Route.Resumable = false
		_, err := runStream(t, b, req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(runs).To(gomega.BeZero(), "sends to a server that has refused it")
		g.Expect(b.backend.sent()).To(gomega.HaveLen(4), "all servers are tried")
		g.Expect(time.Since(req.Arrived)).To(gomega.BeNumerically("<", 50*time.Millisecond), "the wait for a server that may get it")
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
