package soak

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/standin/nursery"
)

// Servers say in their answers that they leave, with and without their entries saying so,
// beside outages of the store, restarts and crashes.
func TestServersThatSayTheyLeave(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return LeavingPlan(sizeFromFlags(), seed, *length) })
}

// Servers ask for rest, under load and beside restarts and crashes.
func TestServersThatAskForRest(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return RestPlan(sizeFromFlags(), seed, *length) })
}

// Poisoned requests crash whole zones, beside lost zones and servers that leave or rest.
func TestPoisonedRequestsThatCrashWholeZones(t *testing.T) {
	runSeeds(t, func(seed uint64) Plan { return MassPoisonPlan(sizeFromFlags(), seed, *length) })
}

// Guards against checks that find nothing: requests that reach a server in its rest, or long
// after it has said that it leaves, from the same VM or from another one.
func TestWhatCountsAgainstStatementsOfServers(t *testing.T) {
	g := gomega.NewWithT(t)
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	arrival := func(id string, s float64) nursery.Run { return nursery.Run{Request: id, Server: "i-1", At: at(s)} }
	calls := []Call{{ID: "r1", VM: "edge-1", Sent: at(0), ToldLeaving: at(0.1)}}
	arrivals := []nursery.Run{{Request: "r1", Server: "i-1", At: at(0), Leaving: true}}
	for i, id := range []string{"r2", "r3", "r4", "r5"} {
		calls = append(calls, Call{ID: id, VM: "edge-1", Sent: at(1 + float64(i)/2)})
		arrivals = append(arrivals, arrival(id, 1+float64(i)/2))
	}
	calls = append(calls, Call{ID: "other", VM: "edge-2", Sent: at(9)})
	arrivals = append(arrivals, arrival("other", 9))
	g.Expect(leavingViolations(calls, arrivals, nil)).To(gomega.HaveLen(1), "r5 alone was sent more than 2 s later")
	g.Expect(leavingViolations(calls, arrivals, []Span{{Name: "VM killed", From: at(0.5), To: at(0.6)}})).To(gomega.BeEmpty())
	rests := []nursery.Rest{{Request: "r1", Server: "i-1", At: at(0), For: 3 * time.Second}}
	g.Expect(restViolations(calls, rests, arrivals, nil)).To(gomega.HaveLen(1), "four requests of that VM")
	rests[0].For = 1600 * time.Millisecond
	g.Expect(restViolations(calls, rests, arrivals, nil)).To(gomega.BeEmpty(), "two may be under way")
	rests[0].For, rests[0].StartMillis = 3*time.Second, 7
	g.Expect(restViolations(calls, rests, arrivals, nil)).To(gomega.BeEmpty(), "another start")
}
