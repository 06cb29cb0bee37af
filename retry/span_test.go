package retry

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A service is quiet over night. In the morning a tenth of its backend servers
// fails, and each request asks for retries. The router sends the 20 that it has
// saved up and one a second besides: in 20 seconds the rest, full already, gets
// twice the fixed number that was allowed for them.
func TestBudgetSavesNothingUpBeyondItsSpan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(BudgetOptions{})
		time.Sleep(time.Hour)
		sent := 0
		for range 200 {
			if b.Allow() {
				sent++
			}
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(sent).To(Equal(20), "in 20 seconds, one for each")
	})
}
