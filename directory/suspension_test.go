package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// trials returns when a server is sent requests within a time if each is refused at once and there is one each 10 ms.
func trials(d *Directory, id string, start time.Time, within time.Duration) []time.Duration {
	var at []time.Duration
	for after := time.Duration(0); after < within; after += 10 * time.Millisecond {
		now := start.Add(after)
		if s := d.Pick(Query{Service: "s"}, now); s != nil && s.ID == id && s.TakeTurn(now) {
			at = append(at, after)
			s.BeginAttempt()
			s.MarkRefused(now)
		}
	}
	return at
}

// Guards against a server that is out of use for good because its link has refused connections for a moment.
func TestServerThatRefusedConnectionsIsTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	at := trials(d, "a1", now, time.Minute)
	g.Expect(len(at)).To(gomega.BeNumerically(">=", 15), "trials in a minute")
	for i := 1; i < len(at); i++ {
		g.Expect(at[i]-at[i-1]).To(gomega.BeNumerically("<=", maxSuspension), "between trials %d and %d", i-1, i)
	}
	d.server("a1").MarkReached(now.Add(time.Minute))
	for range 10 {
		g.Expect(d.server("a1").TakeTurn(now.Add(time.Minute))).To(gomega.BeTrue(), "all requests once it has answered")
	}
	g.Expect(d.Pick(Query{Service: "s"}, now.Add(time.Minute))).NotTo(gomega.BeNil())
}

// Guards against requests to a server that has ended, each of which would be refused.
func TestServerThatHasEndedGetsFewTrials(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(len(trials(withServers("a1"), "a1", time.Now(), time.Minute))).To(gomega.BeNumerically("<=", 19), "requests in a minute")
}

// Guards against more than one request to a suspended server before its answer.
func TestSuspendedServerIsTriedByOneRequestAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	s := d.server("a1")
	s.MarkRefused(now)
	now = now.Add(firstSuspension)
	taken := 0
	for range 20 {
		if s.TakeTurn(now) {
			s.BeginAttempt()
			taken++
		}
	}
	g.Expect(taken).To(gomega.Equal(1))
	g.Expect(d.Pick(Query{Service: "s"}, now)).To(gomega.BeNil())
	g.Expect(d.Usable(s, now)).To(gomega.BeFalse())
}

// Guards against a long suspension because many requests were refused at the same moment.
func TestRefusalsAtTheSameMomentSuspendOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	for i := range 100 {
		d.server("a1").MarkRefused(now.Add(time.Duration(i) * time.Millisecond))
	}
	g.Expect(d.Pick(Query{Service: "s"}, now.Add(firstSuspension))).NotTo(gomega.BeNil())
}

// Guards against the loss of a zone that is dated anew by each trial of its servers, and against a loss that is not reported.
func TestFailedTrialIsNoNewLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	s := d.server("a1")
	g.Expect(s.MarkRefused(now)).To(gomega.BeTrue())
	trial := now.Add(firstSuspension)
	g.Expect(s.TakeTurn(trial)).To(gomega.BeTrue())
	down := s.BeginAttempt()
	g.Expect(s.MarkRefused(trial)).To(gomega.BeFalse())
	g.Expect(down).To(gomega.BeClosed())
	lost, _ := s.recentLoss(trial, time.Minute)
	g.Expect(lost.at).To(gomega.Equal(now))
	s.MarkReached(trial)
	g.Expect(s.MarkRefused(trial.Add(time.Second))).To(gomega.BeTrue(), "a loss after an answer is new")
}

// Guards against trials of a start that another one has replaced: that one has its address.
func TestReplacedStartIsNotTriedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	s := d.server("a1")
	s.Born = 1
	s.markReplaced(now)
	s.MarkReached(now)
	g.Expect(s.Ended()).To(gomega.BeTrue())
	g.Expect(s.IsDown(now.Add(time.Minute))).To(gomega.BeTrue())
	g.Expect(d.Usable(s, now.Add(time.Minute))).To(gomega.BeFalse())
}

// Guards against trials that another process at the address turns away: each is an arrival for nothing.
func TestServerWhoseAddressAnotherHasGetsNoTrials(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	list := []Listing{{ID: "a1", Service: "s", Zone: "a", Address: "x:1"}, {ID: "a2", Service: "s", Zone: "a", Address: "x:1"}}
	d.Apply(2, list, false, now)
	old, successor := d.server("a1"), d.server("a2")
	old.MarkRefused(now)
	later := now.Add(time.Minute)
	for range 20 {
		g.Expect(d.Pick(Query{Service: "s"}, later) == successor).To(gomega.BeTrue())
	}
	g.Expect(old.TakeTurn(later)).To(gomega.BeFalse())
	successor.MarkRefused(now)
	g.Expect(old.TakeTurn(later)).To(gomega.BeTrue(), "either may have the address if both refuse")
	successor.MarkReached(now)
	d.Apply(3, list[:1], false, now)
	g.Expect(d.server("a1").TakeTurn(later.Add(time.Second))).To(gomega.BeTrue(), "once it is listed alone there")
}

// Guards against a process that answers 421 in place of the server being asked again at once.
func TestServerWhoseAddressAnsweredMisdirectedIsTriedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	d, now := withServers("a1"), time.Now()
	d.server("a1").MarkEnded(now)
	g.Expect(d.server("a1").TakeTurn(now.Add(maxSuspension - time.Millisecond))).To(gomega.BeFalse())
	g.Expect(d.server("a1").TakeTurn(now.Add(maxSuspension))).To(gomega.BeTrue())
}
