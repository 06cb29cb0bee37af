package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// threeServers returns a directory with servers a, b and c of a service, six places each.
func threeServers(share bool) *Directory {
	d := New()
	var list []Listing
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, Listing{ID: id, Service: "s", Address: id, Slots: 6})
	}
	d.Apply(1, list, false, time.Now())
	if share {
		d.SharePlaces("s")
	}
	return d
}

func TestHangsNow(t *testing.T) {
	const limit = 180 * time.Millisecond
	for name, c := range map[string]struct {
		is   responsiveness
		want bool
	}{
		"it accepts calls and answers none":             {responsiveness{overdue: hangingCalls, sinceAnswer: limit, limit: limit}, true},
		"it has never answered":                         {responsiveness{overdue: 6, sinceAnswer: time.Hour, limit: limit}, true},
		"disturbed: calls are overdue, others answered": {responsiveness{overdue: 12, sinceAnswer: 40 * time.Millisecond, limit: limit}, false},
		"two calls are no evidence":                     {responsiveness{overdue: 2, sinceAnswer: time.Hour, limit: limit}, false},
		"no calls, no answers":                          {responsiveness{sinceAnswer: time.Hour, limit: limit}, false},
		"one good answer does not make it usable":       {responsiveness{hangs: true, hangsFor: time.Second, good: 1, limit: limit}, true},
		"several in a row do":                           {responsiveness{hangs: true, hangsFor: time.Second, good: trustedAnswers, limit: limit}, false},
		"good answers from before it hung":              {responsiveness{hangs: true, hangsFor: 50 * time.Millisecond, good: trustedAnswers, limit: limit}, true},
	} {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(c.is.hangsNow()).To(gomega.Equal(c.want))
		})
	}
}

func TestHangLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	const objective = 150 * time.Millisecond
	g.Expect(hangLimit(30*time.Millisecond, objective)).To(gomega.Equal(180 * time.Millisecond))
	g.Expect(hangLimit(10*time.Millisecond, objective)).To(gomega.Equal(objective), "within its objective no call counts against its server")
	g.Expect(hangLimit(0, objective)).To(gomega.BeNumerically("~", 180*time.Millisecond, time.Millisecond), "before any measurement")
	g.Expect(hangLimit(0, 0)).To(gomega.BeZero(), "nothing is known to judge by")
}

// What peers report counts before the server has said it, and a VM that dies counts for no
// longer than a second.
func TestPeersCallsCountUntilTheyAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := threeServers(true)
		q := Query{Service: "s"}
		free := d.Places(q, time.Now()).Free
		d.SetPeerPlaces("vm1", PlaceReports{Servers: []PlaceReport{{Server: d.server("a").startHash, Calls: 4}}, Waiting: map[uint32]int{Hash("s"): 2}}, time.Now())
		d.SetPeerPlaces("vm2", PlaceReports{Servers: []PlaceReport{{Server: d.server("a").startHash, Calls: 2}, {Server: 12345, Calls: 6}}}, time.Now())
		time.Sleep(10 * time.Millisecond)
		places := d.Places(q, time.Now())
		g.Expect(places.Free).To(gomega.Equal(free - 6))
		g.Expect(places.PeersWaiting).To(gomega.Equal(2))
		for range 20 {
			g.Expect(d.Pick(q, time.Now()).ID).NotTo(gomega.Equal("a"))
		}
		time.Sleep(placesTTL)
		places = d.Places(q, time.Now())
		g.Expect(places.Free).To(gomega.Equal(free))
		g.Expect(places.PeersWaiting).To(gomega.BeZero())
	})
}

// A report that lies closes a server by no more calls than it has places, and a server that
// starts again under its id has none of the calls of before.
func TestWrongReportsAndNewStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := threeServers(true)
		lie := PlaceReports{Servers: []PlaceReport{{Server: d.server("a").startHash, Calls: 60000, Overdue: 255}}}
		d.SetPeerPlaces("vm1", lie, time.Now())
		time.Sleep(10 * time.Millisecond)
		d.Places(Query{Service: "s"}, time.Now())
		g.Expect(d.server("a").CallsThere(time.Now())).To(gomega.Equal(6))
		use := d.BeginPlace(d.server("a"), 150*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		use.End(true)
		d.SetPeerPlaces("vm1", lie, time.Now())
		time.Sleep(50 * time.Millisecond)
		d.Places(Query{Service: "s"}, time.Now())
		g.Expect(d.server("a").Hangs()).To(gomega.BeFalse(), "it has just answered a call of this process")

		d.Apply(2, []Listing{{ID: "a", Born: 2, Service: "s", Address: "a", Slots: 6}}, false, time.Now())
		d.SetPeerPlaces("vm1", lie, time.Now())
		time.Sleep(10 * time.Millisecond)
		g.Expect(d.Places(Query{Service: "s"}, time.Now()).Free).To(gomega.Equal(8))
	})
}

// Where places aren't shared, nothing is reported, what peers report changes no choice, and no
// server counts as hanging.
func TestPlacesThatAreNotShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := threeServers(false)
		for range 6 {
			defer d.server("a").BeginCall()()
			defer d.server("b").BeginCall()()
		}
		d.SetPeerPlaces("vm1", PlaceReports{Servers: []PlaceReport{{Server: d.server("c").startHash, Calls: 6, Overdue: 6}}}, time.Now())
		time.Sleep(time.Second)
		g.Expect(d.Pick(Query{Service: "s"}, time.Now()).ID).To(gomega.Equal("c"))
		g.Expect(d.OwnPlaces(time.Now())).To(gomega.Equal(PlaceReports{Waiting: map[uint32]int{}}))
		g.Expect(d.HangingServers()).To(gomega.BeZero())
	})
}

// A configuration in which callers compete shares the places of all services, one in which they
// no longer do none but those whose servers ask for it.
func TestPlacesOfAllServicesAreSharedByConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	d := threeServers(false)
	g.Expect(d.SharesPlaces("s")).To(gomega.BeFalse())
	d.SharePlacesOfAll(true)
	g.Expect(d.SharesPlaces("s")).To(gomega.BeTrue())
	d.SharePlacesOfAll(false)
	g.Expect(d.SharesPlaces("s")).To(gomega.BeFalse())
	d.SharePlaces("s")
	d.SharePlacesOfAll(false)
	g.Expect(d.SharesPlaces("s")).To(gomega.BeTrue())
	g.Expect(d.SharesPlaces("other")).To(gomega.BeFalse())
}

// Only calls at servers that are half full are reported: with more free places any choice finds
// one.
func TestOnlyCallsAtBusyServersAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	d := threeServers(true)
	var uses []*PlaceUse
	for range 2 {
		uses = append(uses, d.BeginPlace(d.server("a"), time.Second))
	}
	g.Expect(d.OwnPlaces(time.Now()).Servers).To(gomega.BeEmpty())
	uses = append(uses, d.BeginPlace(d.server("a"), time.Second))
	g.Expect(d.OwnPlaces(time.Now()).Servers).To(gomega.ConsistOf(gomega.HaveField("Calls", 3)))
	for _, u := range uses {
		u.End(false)
		u.End(false)
	}
	g.Expect(d.OwnPlaces(time.Now()).Servers).To(gomega.BeEmpty())
}

// A process that was frozen finds the timers of its calls ended before it reads the answers
// that have come meanwhile.
func TestAnswersReadRightAfterTheLimitAreInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := threeServers(true)
		const objective = 150 * time.Millisecond
		var uses []*PlaceUse
		for range 6 {
			uses = append(uses, d.BeginPlace(d.server("a"), objective))
		}
		time.Sleep(hangLimit(0, objective) + overdueConfirmation/2)
		for _, u := range uses {
			u.End(true)
		}
		time.Sleep(time.Second)
		g.Expect(d.server("a").Hangs()).To(gomega.BeFalse())
	})
}

// A server answers three calls of which it has let the time pass, and then none: one VM finds
// it. A call of a route without an objective says nothing before any answer.
func TestServerThatAnswersNoCallIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := threeServers(true)
		for range hangingCalls {
			defer d.BeginPlace(d.server("b"), 0).End(false)
			defer d.BeginPlace(d.server("a"), 150*time.Millisecond).End(false)
		}
		time.Sleep(300 * time.Millisecond)
		g.Expect(d.server("a").Hangs()).To(gomega.BeTrue())
		g.Expect(d.server("b").Hangs()).To(gomega.BeFalse())
		for range 50 {
			g.Expect(d.Pick(Query{Service: "s"}, time.Now()).ID).NotTo(gomega.Equal("a"))
		}
		g.Expect(d.Pick(Query{Service: "s", Exclude: map[Start]bool{d.server("b").Start: true, d.server("c").Start: true}}, time.Now()).ID).To(gomega.Equal("a"), "no other server is left")
		time.Sleep(hangTrialInterval + hangTrialSpread)
		g.Expect(d.Pick(Query{Service: "s"}, time.Now()).ID).NotTo(gomega.Equal("a"), "a call that can't be repeated is no trial yet")
		g.Expect(d.Pick(Query{Service: "s", Repeatable: true}, time.Now()).ID).To(gomega.Equal("a"))
		g.Expect(d.Pick(Query{Service: "s", Repeatable: true}, time.Now()).ID).NotTo(gomega.Equal("a"), "a trial is a single call")
		time.Sleep(costlyTrialFactor * (hangTrialInterval + hangTrialSpread))
		g.Expect(d.Pick(Query{Service: "s"}, time.Now()).ID).To(gomega.Equal("a"))
	})
}

// Guards against a VM that has sent no call yet and takes peers' overdue calls for a server that
// hangs.
func TestNothingIsJudgedWithoutALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	r := responsiveness{overdue: 2 * hangingCalls}
	g.Expect(r.hangsNow()).To(gomega.BeFalse())
	r.limit, r.sinceAnswer = time.Second, time.Second
	g.Expect(r.hangsNow()).To(gomega.BeTrue())
}
