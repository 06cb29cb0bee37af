package retry

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
)

// Guards against a crash of Go's race detector. Loops that call Wait with no time left to
// wait, many at the same instant of a bubble, each selected on a timer that was due at
// once. The runtime then ran several timers of the bubble at a time.
func TestWaitsForNothingAtTheSameInstant(t *testing.T) {
	const waiters, waits = 64, 2000
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		failed := make([]error, waiters)
		for i := range waiters {
			group.Go(func() {
				for range waits {
					if err := Wait(t.Context(), 0); err != nil {
						failed[i] = err
					}
				}
			})
		}
		group.Wait()
		gomega.NewWithT(t).Expect(failed).To(gomega.HaveEach(gomega.BeNil()))
	})
}
