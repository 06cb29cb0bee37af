package exchange

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// Guards against an empty answer that looks whole: a server that is lost after the head of an answer without a length ends it cleanly.
func TestStreamThatEndsBeforeItsFirstEventGoesToAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(0, eventInterval, nil), streams(130, eventInterval, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// Guards against the same where no other server may run the stream: its caller must not get a success.
func TestStreamThatMustRunOnceAndEndsBeforeItsFirstEventFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(0, eventInterval, nil)))
		req := streamRequest()
		req.Route.Resumable = false
		sink, err := runStream(t, b, req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(sink.heads).To(gomega.BeZero())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// Guards against running a rest again that is empty because its caller has all events already.
func TestEmptyRestOfAStreamIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(130, eventInterval, nil)))
		req := streamRequest()
		req.LastEvent = "130"
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.heads).To(gomega.Equal(1))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}
