package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a stream that stays for good at a server that was to continue from a copy, answers probes
// and sends nothing.
func TestHungSuccessorThatAnswersProbesIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(600*time.Millisecond), hangs, streams(130, eventInterval, nil)))
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", silenceTimeout+2*time.Second))
	})
}
