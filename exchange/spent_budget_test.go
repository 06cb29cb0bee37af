package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a former server that works on beside a run that began, because that run failed while
// the retry budget was spent.
func TestFormerServerEndsAlsoIfTheBudgetIsSpentForAMoment(t *testing.T) {
	for name, next := range map[string]script{"breaks off": breaksAfter(30 * time.Millisecond), "starts over": wrongOrder, "answers 500": answers(500, "x", 30*time.Millisecond)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := &workLog{}
				b := newTestbed(inOrder(w.recorded(pausing(preemption)), w.recorded(next), w.recorded(streams(130, eventInterval, nil))))
				restored := time.Now().Add(50*eventInterval + 800*time.Millisecond)
				b.opts.RetryRatio, b.opts.RetryExtra = 0, func() float64 {
					if time.Now().Before(restored) {
						return 1
					}
					return 20
				}
				sink, err := runStream(t, b, streamRequest())
				time.Sleep(time.Second)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
				g.Expect(w.together()).To(gomega.BeNumerically("<=", maxTogether))
			})
		})
	}
}
