package retry

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against retries that accumulate like tokens in a bucket: after an idle
// night, a tenth of a service's backend servers fails. A token bucket would allow
// the 20 accumulated retries and one more per second, so that the remaining
// servers, already full, receive twice the allowed number within 20 seconds.
func TestUnusedRetriesDoNotAccumulate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(BudgetOptions{})
		time.Sleep(time.Hour)
		retries := 0
		for range 200 {
			if b.Allow() {
				retries++
			}
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(retries).To(Equal(20), "one per second in 20 seconds")
	})
}
