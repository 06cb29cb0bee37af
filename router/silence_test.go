package router

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A router is frozen for longer than the silence that ends a stream. When it
// goes on, its timer has run out and a frame is there. The stream must not be
// given up: its engine is well, and the resume would cost a prefill. A stream
// that brings nothing at all ends at the limit, not before and not much later.
func TestSilenceEndsOnlyAReadThatBringsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var s silence
		var gaveUp atomic.Int32
		s.watch(time.Second, func() { gaveUp.Add(1) })
		for range 5 {
			s.begin()
			time.Sleep(990 * time.Millisecond) // the timer ran out once
			s.stop()
			time.Sleep(5 * time.Second) // a slow caller
			synctest.Wait()
			g.Expect(gaveUp.Load()).To(BeZero())
		}
		s.begin()
		s.ranOut() // late, for a read that has ended
		time.Sleep(999 * time.Millisecond)
		synctest.Wait()
		g.Expect(gaveUp.Load()).To(BeZero())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		g.Expect(gaveUp.Load()).To(BeEquivalentTo(1))
		g.Expect(s.expired()).To(BeTrue())
	})
}
