package exchange

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a stream that is cut off although its server works: the retry that was reserved before
// that server was left is lost as its attempt is ended.
func TestRetryReservedForAFailedHandoverIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(600*time.Millisecond), breaksAfter(30*time.Millisecond), streams(130, eventInterval, nil)))
		b.opts.RetryRatio, b.opts.RetryExtra = 0, func() float64 { return 2 }
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// Guards against a handover that is taken from no budget: its retry is that of the attempt before, which
// has reached its server.
func TestHandoverOfARetryTakesARetryOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(20, eventInterval, io.ErrUnexpectedEOF), pausing(900*time.Millisecond), streams(130, eventInterval, nil)))
		b.opts.RetryRatio, b.opts.RetryExtra = 0, func() float64 { return 1 }
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(2))
	})
}
