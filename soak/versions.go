package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pearyard/pearyard/standin/nursery"
)

const (
	// returningCallers is how many callers per VM come back for the rest of their streams.
	returningCallers = 3
	// returnIDs precedes the id of the first try of such a caller in its path. The ids of its
	// further tries are longer ends of the path.
	returnIDs     = "ttt"
	streamPath    = "/stream/"
	returningPath = streamPath + returnIDs
	// minReturns is the number of returns from which on their share that goes on is checked.
	minReturns = 12
)

// VersionPlan returns a plan of servers of two versions, whose texts differ, with callers that
// come back for the rest of their streams, beside all that cuts streams off.
func VersionPlan(size Size, seed uint64, length time.Duration) Plan {
	size.Versions, size.ReturningCallers = []string{"v1", "v2"}, returningCallers
	others := append(slices.Clone(vmRestarts), "VM paused", "VM cut from the store", "server crash", "server crashes and is back under its id",
		"zone of servers crash", "server connections reset", "server silent", "store busy", "store silent", "history dropped", "route added")
	disruptions := append([]Disruption{versionDisruption, versionDisruption}, disruptionsNamed(others)...)
	return Plan{Size: size, Seed: seed, Disruptions: disruptions, Length: length}
}

// releaseVMs are more VMs than those that tell all others which version began a stream.
const releaseVMs = 12

// ReleasePlan returns a plan of servers of one version, of which others are released while VMs are
// killed, stand still or are cut off, with callers that come back for the rest of their streams.
func ReleasePlan(size Size, seed uint64, length time.Duration) Plan {
	size.Versions, size.ReturningCallers, size.VMs = []string{"v1"}, returningCallers, max(size.VMs, releaseVMs)
	others := append(slices.Clone(vmRestarts), "VM paused", "VM cut from the store", "server crash", "server connections reset", "store busy", "route added")
	disruptions := append([]Disruption{releaseDisruption, releaseDisruption}, disruptionsNamed(others)...)
	return Plan{Size: size, Seed: seed, Disruptions: disruptions, Length: length}
}

// releases are the versions that a ReleasePlan releases.
var releases = []string{"v2", "v3"}

var releaseDisruption = Disruption{Name: "half of the servers released in another version", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	version := releases[rng.IntN(len(releases))]
	for _, i := range rng.Perm(s.size.ModelServers)[:s.size.ModelServers/2] {
		server := s.Servers[i]
		server.Drain()
		time.Sleep(duration / time.Duration(s.size.ModelServers))
		server.Crash()
		server.SetVersion(version)
		_ = server.Restart()
	}
}}

var versionDisruption = Disruption{Name: "server replaced by one of another version", run: func(s *Site, rng *rand.Rand, duration time.Duration) {
	server := s.Servers[rng.IntN(s.size.ModelServers)]
	server.Drain()
	time.Sleep(duration)
	server.Crash()
	server.SetVersion(s.size.Versions[rng.IntN(len(s.size.Versions))])
	_ = server.Restart()
}}

// runReturningCaller runs streams one after another until ctx ends, and comes back for the
// rest of each that is cut off, by a disruption or by itself.
func (c *Callers) runReturningCaller(ctx context.Context) {
	for ctx.Err() == nil {
		c.runReturningStream()
		time.Sleep(callerPause)
	}
}

func (c *Callers) runReturningStream() {
	name := returnIDs + fmt.Sprintf("r%06d", c.nextID.Add(1))
	var got streamProgress
	for try := range len(returnIDs) + 1 {
		vm := c.site.VMs[c.randIntN(len(c.site.VMs))]
		call := Call{ID: name[len(returnIDs)-try:], VM: vm.Name, Path: streamPath + name, got: got, before: got.events}
		if try < len(returnIDs) {
			call.leaveAfter = got.events + 1 + c.randIntN(nursery.Events)
		}
		c.send(c.client, vm, &call, "k0")
		c.record(call)
		if call.Complete && call.Status == http.StatusOK || call.Mismatch != "" {
			return
		}
		if got.events == 0 && call.got.events > 0 {
			call.got.began = call.ID
		}
		got = call.got
		time.Sleep(callerPause)
	}
}

// streamProgress is what a caller has of a stream, over all of its tries.
type streamProgress struct {
	began   string // id of the try that brought the first event; empty: none has
	version string // of the server that wrote the events
	events  int
}

// left reports whether the caller itself closed its connection in the middle of a stream.
func (c Call) left() bool {
	ranOut := c.patience > 0 && c.Ended.Sub(c.Sent) >= c.patience
	return !c.Complete && (ranOut || (c.leaveAfter > 0 && c.got.events == c.leaveAfter))
}

// setHeaders names the stream that a request resumes.
func (p streamProgress) setHeaders(h http.Header) {
	if p.events > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(p.events))
		h.Set("Resumes", p.began)
	}
}

// add adds an event and describes how it differs from the expected one; empty: not at all.
func (p *streamProgress) add(path, data string) string {
	p.events++
	if p.version == "" {
		p.version = nursery.EventVersion(data)
	}
	if want := nursery.EventText(path, p.version, p.events); data != want {
		return fmt.Sprintf("event %q, expected %q", data, want)
	}
	return ""
}

// returnCounts counts the streams of callers that come back.
type returnCounts struct {
	attempted, begun int // new streams; those that got an event
	returned, wentOn int // callers that came back; those that got an event
}

func countReturns(calls []Call) (n returnCounts) {
	for _, call := range calls {
		if call.Status == 0 || !strings.HasPrefix(call.Path, returningPath) {
			continue
		}
		gotEvent := 0
		if call.got.events > call.before {
			gotEvent = 1
		}
		if call.before > 0 {
			n.returned, n.wentOn = n.returned+1, n.wentOn+gotEvent
		} else {
			n.attempted, n.begun = n.attempted+1, n.begun+gotEvent
		}
	}
	return n
}

// violations describes callers that came back and were refused, while new streams began: the
// platform asks for half of the share of these.
func (n returnCounts) violations() []string {
	if n.returned >= minReturns && 2*n.wentOn*n.attempted < n.begun*n.returned {
		return []string{fmt.Sprintf("%d of %d callers that came back went on, %d of %d new streams began", n.wentOn, n.returned, n.begun, n.attempted)}
	}
	return nil
}
