package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against two servers that work on one stream for longer than acceptanceTime because this
// process stalls between the send and the begin of the wait.
func TestAcceptanceIsAwaitedFromTheSend(t *testing.T) {
	for stall, total := range map[time.Duration]time.Duration{0: acceptanceTime, 150 * time.Millisecond: acceptanceTime, 300 * time.Millisecond: 300*time.Millisecond + readTime} {
		t.Run(stall.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := &stream{successor: &streamAttempt{sent: make(chan struct{})}}
				began := time.Now()
				s.successor.markSent()
				time.Sleep(stall)
				<-s.successorSent()
				s.awaitAcceptance()
				<-s.acceptanceDue
				g.Expect(time.Since(began)).To(gomega.Equal(total))
			})
		})
	}
}
