package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
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
		s.took(5 * time.Second)
	}
	s.begin(now.Add(8 * time.Second))
	g.Expect(s.leavesTime(now.Add(2*time.Second), s.need())).To(gomega.BeTrue())
	g.Expect(s.leavesTime(now.Add(4*time.Second), s.need())).To(gomega.BeFalse())
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
	s.took(3940 * time.Millisecond)
	s.took(4810 * time.Millisecond)
	s.begin(now.Add(7700 * time.Millisecond))
	g.Expect(s.leavesTime(now.Add(3545*time.Millisecond), s.need())).To(gomega.BeFalse())
}
