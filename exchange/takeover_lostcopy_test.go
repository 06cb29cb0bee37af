package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/directory"
)

// Guards against a busy loop when a stream's copy is lost while the stream's own server rests.
func TestCopyLostWhileItsServerRestsIsReplacedAfterTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const rest = 2 * time.Second
		b := newTestbed(everywhere(streams(200, eventInterval, nil)))
		var lost *directory.Server
		time.AfterFunc(20*eventInterval, func() {
			first := b.backend.sent()[0]
			lost = first.CopyTo
			first.Server.ReportRest(rest, time.Now())
			lost.MarkLost(time.Now())
		})
		time.AfterFunc(20*eventInterval+rest-time.Millisecond, func() {
			g.Expect(b.backend.copyPlaces()).To(gomega.BeEmpty(), "the resting server would have to send the copy")
		})
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 200)))
		g.Expect(b.backend.copyPlaces()).To(gomega.HaveLen(1))
		g.Expect(b.backend.copyPlaces()).NotTo(gomega.HaveKey(lost))
	})
}
