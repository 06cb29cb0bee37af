package rollout

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// counts returns evidence of one route.
func counts(ended, failed, pending uint32) Evidence {
	c := &Comparison{New: Sample{Ended: ended, Failed: failed}}
	c.New.Pending[0] = pending
	return Evidence{1: c}
}

// Guards against answers that are counted in two windows or in none, and against pending
// attempts that stay in a window that has ended.
func TestWindowsHoldEachAnswerOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	timeline, start := Timeline{}, time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	g.Expect(timeline.Observe(counts(2, 0, 3), Trial, 20*time.Second, at(0)).Windows).To(gomega.HaveLen(1))
	g.Expect(timeline.Observe(counts(5, 1, 2), Trial, 20*time.Second, at(5)).Windows).To(gomega.HaveLen(2), "a quarter of the duration has passed")
	g.Expect(timeline.Observe(counts(6, 1, 2), Handover, 20*time.Second, at(6)).Windows).To(gomega.HaveLen(3), "another phase has begun")
	windows := timeline.Observe(counts(9, 3, 4), Handover, 20*time.Second, at(7)).Windows
	g.Expect(windows).To(gomega.Equal([]Evidence{counts(5, 1, 0), counts(1, 0, 0), counts(3, 2, 4)}))
}

// All versions fail more often while the new one gets more requests. Guards against blame
// for what the established ones do as well.
func TestNewVersionIsNotBlamedForItsTime(t *testing.T) {
	g := gomega.NewWithT(t)
	calm := Evidence{1: {Established: Sample{Ended: 400, Failed: 4}, New: Sample{Ended: 20}}}
	broken := Evidence{1: {Established: Sample{Ended: 100, Failed: 30}, New: Sample{Ended: 100, Failed: 30}}}
	g.Expect(Judge(History{[]Evidence{sum([]Evidence{calm, broken})}, &Trends{}})).To(gomega.Equal(Bad), "without windows")
	g.Expect(Judge(History{[]Evidence{calm, broken}, &Trends{}})).To(gomega.Equal(Undecided))
	g.Expect(JudgeFinally(History{[]Evidence{calm, broken}, &Trends{}})).To(gomega.Equal(Undecided))
}
