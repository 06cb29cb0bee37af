package admission

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// epoch is when the streams of these tests arrive.
var epoch = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)

// offerOf returns a stream of one of three classes with objectives of 4, 5 and 10 s.
func offerOf(rank int) Offer {
	o := Offer{Rank: rank, Ranks: 3, Objective: []time.Duration{4, 5, 10}[rank] * time.Second, Arrived: epoch}
	if rank > 0 {
		o.UrgentObjective = 4 * time.Second
	}
	return o
}

// behind returns the outlook of a stream whose prompt of a second is read after a backlog.
func behind(backlog time.Duration) Outlook {
	return Outlook{Room: true, Measured: true, Backlog: backlog > 0, First: backlog + time.Second, Reading: time.Second}
}

func TestStreamStartsOnlyWhereMoreUrgentOnesStillBeginInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	verdict := func(rank int, backlog time.Duration) Verdict {
		return Decide(offerOf(rank), behind(backlog), epoch).Verdict
	}
	for rank, last := range []time.Duration{3 * time.Second, 2 * time.Second, time.Second} {
		g.Expect(verdict(rank, last)).To(gomega.Equal(Start), "rank %d", rank)
		g.Expect(verdict(rank, last+time.Millisecond)).NotTo(gomega.Equal(Start), "rank %d", rank)
		g.Expect(verdict(rank, 0)).To(gomega.Equal(Start), "rank %d at an idle server", rank)
	}
	g.Expect(verdict(0, 3001*time.Millisecond)).To(gomega.Equal(Refuse), "would begin after its objective")
	g.Expect(verdict(2, 3*time.Second)).To(gomega.Equal(Wait))
}

func TestWhoCanBeServedIsNotRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	slow := Outlook{Room: true, Measured: true, First: 30 * time.Second, Reading: 30 * time.Second}
	g.Expect(Decide(offerOf(0), slow, epoch).Verdict).To(gomega.Equal(Start), "a late response is better than none")
	slow.Ahead = 1
	g.Expect(Decide(offerOf(0), slow, epoch).Verdict).To(gomega.Equal(Wait), "another stream is about to start")
	g.Expect(Decide(offerOf(2), Outlook{Room: true}, epoch).Verdict).To(gomega.Equal(Start), "nothing is measured")
	noObjective := Offer{Ranks: 3, Arrived: epoch}
	g.Expect(Decide(noObjective, behind(time.Minute), epoch).Verdict).To(gomega.Equal(Start))
}

// Guards against no server with room being taken for a failure, or for an idle server.
func TestStreamWaitsForMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Decide(offerOf(0), Outlook{}, epoch).Verdict).To(gomega.Equal(Wait))
	g.Expect(Decide(offerOf(0), Outlook{Closed: 5 * time.Second}, epoch).Verdict).To(gomega.Equal(Refuse))
}

func TestRefusalNamesATimeWhenThereIsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, backlog := range []time.Duration{4 * time.Second, 8 * time.Second} {
		first, last := offerOf(0), offerOf(0)
		last.Spread = 1
		soonest := Decide(first, behind(backlog), epoch).RetryAfter
		latest := Decide(last, behind(backlog), epoch).RetryAfter
		g.Expect(soonest).To(gomega.BeNumerically(">=", backlog+time.Second-4*time.Second), "the backlog is short enough by then")
		g.Expect(latest-soonest).To(gomega.BeNumerically(">=", time.Second), "callers don't return together")
	}
}

// Guards against a caller that waits although its class has long been unable to start.
func TestRefusalComesAtOnceWhereThatIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := behind(2 * time.Second)
	closed.Closed = 9 * time.Second
	g.Expect(Decide(offerOf(2), closed, epoch).Verdict).To(gomega.Equal(Refuse))
	ahead := behind(2 * time.Second)
	ahead.Ahead, ahead.Interval = 5, 2*time.Second
	g.Expect(Decide(offerOf(2), ahead, epoch).Verdict).To(gomega.Equal(Refuse))
	ahead.Interval = time.Second
	g.Expect(Decide(offerOf(2), ahead, epoch).Verdict).To(gomega.Equal(Wait))
}

// Guards against a less urgent stream that starts while a more urgent one is refused at another
// process.
func TestLessUrgentStreamGivesWayToOtherProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	held := behind(500 * time.Millisecond)
	g.Expect(Decide(offerOf(2), held, epoch).Verdict).To(gomega.Equal(Start))
	held.UrgentHeld = true
	g.Expect(Decide(offerOf(2), held, epoch).Verdict).To(gomega.Equal(Wait))
	idle := behind(0)
	idle.UrgentHeld = true
	g.Expect(Decide(offerOf(2), idle, epoch).Verdict).To(gomega.Equal(Start), "an idle server is of use to nobody else")
	held.Kept = true
	g.Expect(Decide(offerOf(2), held, epoch).Verdict).To(gomega.Equal(Start), "its class has a share")
}
