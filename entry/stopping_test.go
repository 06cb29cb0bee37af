package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/exchange"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/site"
)

// Streams came in after SIGTERM that took longer than what was left; they were
// cut at the end of the grace period and went on late elsewhere. One that can't
// be finished is refused at once instead, one that can is taken.
func TestStoppingTakesWhatItCanFinish(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	g.Expect(s.leavesTime(now, time.Hour)).To(gomega.BeTrue(), "no stop has begun")
	for range durationSamples {
		s.streams.took(5 * time.Second)
	}
	s.begin(now.Add(8 * time.Second))
	g.Expect(s.leavesTime(now.Add(2*time.Second), s.streamNeed(now))).To(gomega.BeTrue())
	g.Expect(s.leavesTime(now.Add(4*time.Second), s.streamNeed(now))).To(gomega.BeFalse())
}

// In the last moments a plain call was sent with no time left and answered "may
// have run" within 8 ms. It is refused as not run while it still is.
func TestStoppingRefusesPlainCallsInItsLastMoments(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	s.begin(now.Add(8 * time.Second))
	g.Expect(s.leavesTime(now.Add(6*time.Second), plainNeed)).To(gomega.BeTrue())
	g.Expect(s.leavesTime(now.Add(7500*time.Millisecond), plainNeed)).To(gomega.BeFalse())
	until := s.bound(now.Add(time.Minute))
	g.Expect(until).To(gomega.BeTemporally("<", s.endsAt()))
	g.Expect(s.bound(now.Add(time.Second))).To(gomega.BeTemporally("==", now.Add(time.Second)))
}

// All entry VMs were stopped 0.4 s after one another, so callers still came to
// those that were stopping. One took a stream 3.5 s after its stop began, with
// 4.16 s left, and cut it in the middle of its answer when the grace was over.
//
// The time that a stream needs was taken from the streams that had ended: two,
// after 3.94 and 4.81 s. Those that take longer had not ended yet, so they were
// not in the sample, and of two the shorter one was the estimate. Evidence: the
// line of the stream that was refused next names need=4.26s; seven streams were
// cut after up to 5.4 s, none of which a server had failed.
func TestStoppingDoesNotGoByTheFirstStreamsThatEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	s.streams.took(3940 * time.Millisecond)
	s.streams.took(4810 * time.Millisecond)
	s.begin(now.Add(7700 * time.Millisecond))
	g.Expect(s.leavesTime(now.Add(3545*time.Millisecond), s.streamNeed(now))).To(gomega.BeFalse())
}

// The same, late in a process's life: one stream in five takes half as long
// again as the others. Nobody can tell which, so none is taken that would be
// cut if it were one of these.
func TestStoppingGoesByTheLongestStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStopping()
	now := time.Now()
	for i := range durationSamples {
		s.streams.took(4 * time.Second)
		if i%5 == 0 {
			s.streams.took(6 * time.Second)
		}
	}
	s.begin(now.Add(7700 * time.Millisecond))
	g.Expect(s.leavesTime(now.Add(2*time.Second), s.streamNeed(now))).To(gomega.BeFalse())
}

// Early in a process's life the streams that run are the evidence: none has
// ended, or only short ones, but one has run for seven seconds already.
func TestStoppingCountsStreamsThatStillRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStopping()
		end := s.streams.begin(time.Now())
		for range durationSamples {
			s.streams.took(3 * time.Second)
		}
		time.Sleep(7 * time.Second)
		now := time.Now()
		s.begin(now.Add(7700 * time.Millisecond))
		g.Expect(s.leavesTime(now.Add(time.Second), s.streamNeed(now))).To(gomega.BeFalse())
		end(false)
		g.Expect(s.leavesTime(now.Add(time.Second), s.streamNeed(now))).To(gomega.BeTrue(), "one that did not come to its end shows nothing")
	})
}

// All entry VMs were stopped within a second. Callers that one refused were sent
// on to the others at once, which refused them too; they had no retry left when
// the VMs served again. They are told when that will be, as far as they wait.
func TestCallersComeBackAfterAStopOfAll(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	all := false
	h := &handler{stop: newStopping(), allStop: func() bool { return all }}
	h.stop.begin(now.Add(4 * time.Second))
	stream, plain := &site.Route{Kind: site.Stream}, &site.Route{Kind: site.Idempotent}
	draft := &platform.Call{Request: exchange.Request{Route: stream, Until: now.Add(25 * time.Second)}}
	short := &platform.Call{Request: exchange.Request{Route: stream, Until: now.Add(3 * time.Second)}}
	check := &platform.Call{Request: exchange.Request{Route: plain, Until: now.Add(3 * time.Second)}}
	g.Expect(h.afterStop(draft, now)).To(gomega.BeNumerically("<=", elsewhere))
	all = true
	g.Expect(h.afterStop(draft, now)).To(gomega.And(gomega.BeNumerically(">=", 4*time.Second+restartTime), gomega.BeNumerically("<=", 4*time.Second+restartTime+returnsOver)))
	g.Expect(h.afterStop(short, now)).To(gomega.Equal(time.Second), "a caller honours a third of the time that it has left")
	g.Expect(h.afterStop(check, now)).To(gomega.BeNumerically("<=", elsewhere))
}
