package entry_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/standin/nursery"
)

// maxInRest is how many requests of one VM may reach a server in a rest that it has asked
// that VM for, from restNotice after the answer: they may have been under way.
const (
	maxInRest  = 2
	restNotice = 500 * time.Millisecond
)

// inRests returns how many requests reached a server in each of its rests.
func (env *testEnv) inRests(s *nursery.Server) (most int) {
	for _, r := range env.cloud.Ledger.Rests() {
		n := 0
		for _, a := range env.cloud.Ledger.Arrivals() {
			if a.Server == r.Server && a.At.After(r.At.Add(restNotice)) && a.At.Before(r.At.Add(r.For)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against requests that reach a server while it has the rest that it has asked for,
// and against a server that gets none when the rest is over.
func TestServerThatAsksForRestGetsIt(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startServing(t, 2, nil)
	for _, s := range env.servers {
		s.EventGap.Store(int64(fastGap))
	}
	resting := env.servers[0]
	sendFor(200*time.Millisecond, "/stream/again/before/", env)
	resting.TurnAway(2 * time.Second)
	g.Expect(sendFor(4*time.Second, "/stream/again/rest/", env)).To(gomega.BeZero(), "the other server takes all")
	g.Expect(env.inRests(resting)).To(gomega.BeNumerically("<=", maxInRest))
	g.Expect(env.cloud.Ledger.Rests()).NotTo(gomega.BeEmpty())
	resting.TurnAway(0)
	since := time.Now()
	g.Expect(sendFor(3*time.Second, "/stream/again/after/", env)).To(gomega.BeZero())
	g.Expect(env.arrivalsSince(resting, since)).To(gomega.BeNumerically(">", 10), "of 75")
}

// Guards against callers that wait for a server which rests, come back before it takes
// requests, or all come at once.
func TestCallersOfServersThatAllRestAreRefusedUntilTheEndOfTheRest(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startServing(t, 1, nil)
	env.servers[0].TurnAway(3 * time.Second)
	first := env.send(testRequest{id: "first", path: "/once/first"}).readHead()
	g.Expect(first.Status).To(gomega.Equal(503))
	asked := time.Now()
	waits := map[string]bool{}
	for i := range 10 {
		path := []string{"/once/", "/stream/again/"}[i%2]
		sent := time.Now()
		c := env.send(testRequest{id: strconv.Itoa(i), path: path + strconv.Itoa(i)}).readHead()
		g.Expect(c.Status).To(gomega.Equal(503))
		g.Expect(time.Since(sent)).To(gomega.BeNumerically("<", 200*time.Millisecond), "refused at once")
		after, err := strconv.ParseFloat(c.Header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		back := time.Now().Add(time.Duration(after * float64(time.Second)))
		g.Expect(back.Sub(asked)).To(gomega.BeNumerically("~", 3*time.Second+400*time.Millisecond, 500*time.Millisecond))
		waits[c.Header.Get("Retry-After")] = true
	}
	g.Expect(len(waits)).To(gomega.BeNumerically(">", 5), "spread")
	g.Expect(env.arrivalsSince(env.servers[0], asked)).To(gomega.BeZero())
	g.Expect(env.lastLine("0").Fields["ended_by"]).To(gomega.Equal("limit"))
}

// Guards against a caller that is refused although a server's rest is over in time for it.
func TestCallerIsKeptIfTheRestIsOverInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startServing(t, 1, nil)
	server := env.servers[0]
	server.TurnAway(100 * time.Millisecond)
	g.Expect(env.send(testRequest{id: "first", path: "/once/first"}).readHead().Status).To(gomega.Equal(503))
	server.TurnAway(0)
	for i := range 3 {
		c := env.send(testRequest{id: strconv.Itoa(i), path: "/once/" + strconv.Itoa(i)}).readRest()
		g.Expect(c.Status).To(gomega.Equal(200))
	}
}
