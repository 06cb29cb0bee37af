package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

func readIn(s *Server, tokens int, d time.Duration) {
	r := s.StreamBegun(tokens)
	time.Sleep(d)
	r.Read()
	r.End()
}

// A server has never been sent a prompt. It is held as fast as the median of
// those that have, and one that has been measured as fast as it was there.
func TestUnmeasuredServerTakesTheMedian(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2", "b1", "b2")
		g.Expect(d.ReadSpeed(d.server("b2"), time.Now())).To(gomega.BeZero())
		readIn(d.server("a1"), 8000, time.Second)
		readIn(d.server("a2"), 8000, 2*time.Second)
		readIn(d.server("b1"), 8000, 4*time.Second)
		time.Sleep(medianFor)
		g.Expect(d.ReadSpeed(d.server("a1"), time.Now())).To(gomega.BeNumerically("~", 8000, 1))
		g.Expect(d.ReadSpeed(d.server("b2"), time.Now())).To(gomega.BeNumerically("~", 4000, 1))
	})
}

// A prompt lies behind two others. What was read until its first event is all
// three, so the server is not held slow for being busy.
func TestSpeedCountsWhatLayAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1")
		s := d.server("a1")
		s.setOthers(Load{Streams: 2, Prefill: 16000})
		readIn(s, 8000, 3*time.Second)
		gomega.NewWithT(t).Expect(d.ReadSpeed(s, time.Now())).To(gomega.BeNumerically("~", 8000, 1))
	})
}

// One prompt was still kept and took no time at all. The next hundred must not
// be expected so soon.
func TestOneKeptPromptMakesNoFastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := withServers("a1")
		readIn(d.server("a1"), 8000, time.Second)
		readIn(d.server("a1"), 8000, 20*time.Millisecond)
		gomega.NewWithT(t).Expect(d.ReadSpeed(d.server("a1"), time.Now())).To(gomega.BeNumerically("<", 12000))
	})
}

// Servers turn so slow that no prompt is read before its stream's deadline. No
// answer ever tells; the prompts that were not read do.
func TestPromptsNeverReadTellTheSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1")
		s := d.server("a1")
		readIn(s, 8000, time.Second)
		quick := s.StreamBegun(8000)
		time.Sleep(100 * time.Millisecond)
		quick.End()
		g.Expect(d.ReadSpeed(s, time.Now())).To(gomega.BeNumerically("~", 8000, 1), "broken off early")
		for range 6 {
			r := s.StreamBegun(8000)
			time.Sleep(25 * time.Second)
			r.End()
		}
		g.Expect(d.ReadSpeed(s, time.Now())).To(gomega.BeNumerically("<", 320))
	})
}

// The share of time spent with reading follows what this process and others
// have sent there.
func TestDutyFollowsUnreadPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := withServers("a1").server("a1")
		g.Expect(s.Duty(time.Now())).To(gomega.BeNumerically("~", 0, 0.01))
		for range 20 {
			readIn(s, 8000, time.Second)
			time.Sleep(time.Second)
		}
		g.Expect(s.Duty(time.Now())).To(gomega.BeNumerically("~", 0.5, 0.1))
		s.setOthers(Load{Prefill: 8000})
		time.Sleep(2 * dutySpan)
		g.Expect(s.Duty(time.Now())).To(gomega.BeNumerically(">", 0.85))
	})
}

// A zone has lost two of its three servers; nobody has noticed yet that the
// third went with them. It looks idle and is not the soonest.
func TestSoonestPassesOverALostZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := withServers("a1", "a2", "a3", "b1")
		d.server("b1").StreamBegun(8000)
		time.Sleep(time.Second)
		d.server("a1").Lost(time.Now())
		d.server("a2").Lost(time.Now())
		soonest := d.Soonest("s", nil, time.Now(), func(s *Server) time.Duration { return time.Duration(s.Unread()) })
		g.Expect(soonest.ID).To(gomega.Equal("b1"))
	})
}
