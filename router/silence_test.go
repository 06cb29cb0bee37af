package router

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// A router is frozen for longer than the timeout of a stream. When it resumes, its timer
// has expired and a frame is there. The stream must not be given up: its engine is
// healthy, and a resume would waste a prefill. A stream that brings nothing must end at
// the timeout, neither before nor much later.
func TestSilenceTimerEndsOnlySilentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var s silenceTimer
		var gaveUp atomic.Int32
		s.setTimeout(time.Second, func() { gaveUp.Add(1) })
		for range 5 {
			s.beginRead()
			time.Sleep(990 * time.Millisecond) // the timer has fired once
			s.endRead()
			time.Sleep(5 * time.Second) // a slow caller
			synctest.Wait()
			g.Expect(gaveUp.Load()).To(BeZero())
		}
		s.beginRead()
		s.timerFired() // late, for an earlier read
		time.Sleep(999 * time.Millisecond)
		synctest.Wait()
		g.Expect(gaveUp.Load()).To(BeZero())
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		g.Expect(gaveUp.Load()).To(BeEquivalentTo(1))
		g.Expect(s.expired()).To(BeTrue())
	})
}
