package entry_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/explain"
	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/soak"
	"github.com/pearyard/pearyard/standin/nursery"
)

// verdict is what the process must say of a request.
type verdict struct {
	by       string // reason in its last line and in the counter
	event    string // number of its last line
	sentence string // of explain
}

// holds holds what the process says of a request against it.
func (w *world) holds(id string, v verdict) {
	w.t.Helper()
	g := gomega.NewWithT(w.t)
	last := w.lastLine(id)
	g.Expect(last.Fields["ended_by"]).To(gomega.Equal(v.by), "%s %v", last.Name, last.Fields)
	g.Expect(last.Event).To(gomega.Equal(v.event), "%v", last.Fields)
	g.Eventually(func() int { return w.count(v.by) }).Should(gomega.Equal(1), "counter")
	g.Expect(explain.Of(w.lines(), id).Cause).To(gomega.ContainSubstring(v.sentence))
}

// sawServers waits for the servers' account of a request.
func (w *world) sawServers(id string, ends ...nursery.How) {
	w.t.Helper()
	gomega.NewWithT(w.t).Eventually(func() []nursery.How { return w.cloud.Ledger.Ends(id) }, "3s", "5ms").Should(gomega.Equal(ends))
}

// A user's draft came whole. Neither its line nor its sentence blames anybody.
func TestEndedByItsAnswer(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	w.servers[0].EventGap.Store(int64(fastGap))
	c := w.send(ask{id: "r1", path: "/stream/1"}).rest()
	g.Expect(c.Err).NotTo(gomega.HaveOccurred())
	w.sawServers("r1", nursery.Whole)
	w.holds("r1", verdict{"answer", "PY2720", "It was served after"})
}

// A user stops reading a draft after three events and closes the page. The
// server's work is abandoned; the line names the caller.
func TestEndedByItsCaller(t *testing.T) {
	w := serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/stream/1"}).head().events(9)
	_ = c.conn.Close()
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"caller", "PY2723", "Its caller closed the connection after"})
}

// A user waits for a draft, and a link between them and the entry VM breaks:
// both ends see a reset that neither sent. The caller hasn't left.
func TestEndedByTheLinkToItsCaller(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/stream/1"}).head().events(9)
	w.front.Reset()
	g.Expect(c.rest().Err).To(gomega.HaveOccurred())
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"caller_link", "PY2735", "The connection to its caller was lost after"})
}

// A label was printed, and the application's server broke off before its
// answer. The caller got 502 and the server knows that it broke off.
func TestEndedByItsServer(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	w.servers[0].LostAnswers.Store(1000)
	c := w.send(ask{id: "r1", path: "/once/1"}).head()
	g.Expect(c.Status).To(gomega.Equal(502))
	w.sawServers("r1", nursery.BrokeOff)
	w.holds("r1", verdict{"server", "PY2722", "Its backend server " + startOf(w.servers[0]) + " broke it off after"})
}

// A network fails between an entry VM and a server in the middle of a draft.
// The server wrote its answer to the end and is not to blame.
func TestEndedByTheLinkToItsServer(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	w.servers[0].EventGap.Store(int64(fastGap))
	c := w.send(ask{id: "r1", path: "/stream/1"}).head().events(9)
	w.links[0].Set(soak.Silence)
	g.Expect(c.rest().Err).To(gomega.HaveOccurred())
	w.sawServers("r1", nursery.Whole)
	w.holds("r1", verdict{"server_link", "PY2722", "The connection to its backend server " + startOf(w.servers[0]) + " went silent"})
}

// A connection between an entry VM and a server is reset on the way. Neither
// sent the reset; the server's work is abandoned and it is not to blame.
func TestEndedByAResetOnTheWayToItsServer(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/stream/1"}).head().events(9)
	w.links[0].Reset()
	g.Expect(c.rest().Err).To(gomega.HaveOccurred())
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"server_link", "PY2722", "The connection to its backend server " + startOf(w.servers[0]) + " was reset, by the server or on the way, after"})
}

// An answer is too large to be held before its caller gets any of it. It comes
// whole all the same.
func TestLargeAnswersComeWhole(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/large/1"}).rest()
	g.Expect(c.Err).NotTo(gomega.HaveOccurred())
	g.Expect(c.Bytes).To(gomega.BeEquivalentTo(nursery.LargeAnswer))
	w.sawServers("r1", nursery.Whole)
	w.holds("r1", verdict{"answer", "PY2720", "It was served after"})
}

// A caller ends its side in the middle of a large answer. Its line said that it
// had been served, since that was decided when the answer began.
func TestCallerLeavesInALargeAnswer(t *testing.T) {
	w := serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/large/1", direct: true}).head()
	_ = c.conn.(*net.TCPConn).CloseWrite()
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"caller", "PY2723", "Its caller closed the connection after"})
}

// The same by a caller that has stopped reading for a while: its connection was
// full, the write to it never ended, and neither did the request. Its line was
// missing for as long as the caller kept its connection.
func TestCallerThatDoesNotReadLeavesInALargeAnswer(t *testing.T) {
	w := serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/large/1", direct: true}).head()
	time.Sleep(time.Second) // the connection fills up
	_ = c.conn.(*net.TCPConn).CloseWrite()
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"caller", "PY2723", "Its caller closed the connection after"})
}

// A server crashes in the middle of a large answer, which can't be asked for
// again any more: its caller has a part of it.
func TestServerBreaksALargeAnswer(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/large/1"}).head()
	w.servers[0].Crash()
	g.Expect(c.rest().Err).To(gomega.HaveOccurred())
	w.holds("r1", verdict{"server", "PY2722", "Its backend server "})
}

// A caller says that it waits a second and still listens when they are over.
func TestEndedByItsDeadline(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/stream/1", wait: time.Second}).rest()
	g.Expect(c.Err).To(gomega.HaveOccurred())
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"deadline", "PY2722", "Its caller's deadline passed after"})
}

// The operators' route allows a second; the caller would have waited longer.
func TestEndedByItsRoutesTimeout(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/stream/short/1"}).rest()
	g.Expect(c.Err).To(gomega.HaveOccurred())
	w.sawServers("r1", nursery.Abandoned)
	w.holds("r1", verdict{"route_timeout", "PY2722", "Its route's timeout passed after"})
}

// A body is larger than the configuration allows: 413, and the line has the
// request's id, so that it can be found.
func TestEndedByTheLimitOfBodies(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	c := w.send(ask{id: "r1", path: "/once/1", body: 2000}).head()
	g.Expect(c.Status).To(gomega.Equal(413))
	w.sawServers("r1")
	w.holds("r1", verdict{"limit", "PY2750", "It was answered 413"})
}

// A server crashes in a draft that another could go on with, but no retries are
// left: the caller's stream is cut by that limit.
func TestEndedByTheRetryBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	w := serving(t, 2, func(s *platform.Settings) { s.RetryRatio, s.RetryExtra = 0, 0 })
	c := w.send(ask{id: "r1", path: "/stream/again/1"}).head().events(9)
	ran := w.cloud.Ledger.Runs()[0].Server
	for _, s := range w.servers {
		if s.ID() == ran {
			s.Crash()
		}
	}
	g.Expect(c.rest().Err).To(gomega.HaveOccurred())
	w.sawServers("r1", nursery.BrokeOff)
	w.holds("r1", verdict{"limit", "PY2722", "A limit ended it after"})
}

// An operator removes a route and a key. What runs on the route goes on to its
// end; requests after it are answered 404 and 401 by that version.
func TestEndedByTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		status          int
	}{{"route", "/stream/1", "k0", 404}, {"key", "/once/1", "k1", 401}} {
		t.Run(c.name, func(t *testing.T) {
			g, w := gomega.NewWithT(t), serving(t, 1, nil)
			running := w.send(ask{id: "r0", path: "/stream/1", key: "k1"}).head().events(3)
			w.configure(4, `"k0"`, testRoutes[3:]...)
			g.Eventually(w.logs.text, "5s", "5ms").Should(gomega.ContainSubstring("version=4"))
			late := w.send(ask{id: "r1", path: c.path, key: c.key}).head()
			g.Expect(late.Status).To(gomega.Equal(c.status))
			g.Expect(running.rest().Err).NotTo(gomega.HaveOccurred())
			w.sawServers("r0", nursery.Whole)
			w.sawServers("r1")
			w.holds("r1", verdict{"configuration", "PY2750", fmt.Sprintf("It was answered %d by version 4 of the configuration", c.status)})
			w.holds("r0", verdict{"answer", "PY2720", "It was served after"})
		})
	}
}

// A planned stop's grace period ends while drafts run. The process cuts them;
// their callers are still there and did nothing. Each has its line, and the
// stop's own line and the counter say how many there were.
func TestEndedByThisProcesssStop(t *testing.T) {
	g := gomega.NewWithT(t)
	w := serving(t, 1, func(s *platform.Settings) { s.Grace = 500 * time.Millisecond })
	const drafts = 20
	var running []*caller
	for i := range drafts {
		running = append(running, w.send(ask{id: fmt.Sprintf("r%d", i), path: "/stream/1"}))
	}
	for _, c := range running {
		c.head().events(3)
	}
	w.stop()
	for _, c := range running {
		g.Expect(c.rest().Err).To(gomega.HaveOccurred())
		w.sawServers(c.id, nursery.Abandoned)
	}
	<-w.ended
	for _, c := range running {
		last := w.lastLine(c.id)
		g.Expect(last.Fields["ended_by"]).To(gomega.Equal("stop"), "%s %v", last.Name, last.Fields)
		g.Expect(last.Event).To(gomega.Equal("PY2734"))
		g.Expect(explain.Of(w.lines(), c.id).Cause).To(gomega.ContainSubstring("The planned stop of edge-1 cut it after"))
	}
	g.Expect(w.count("stop")).To(gomega.Equal(drafts))
	g.Expect(w.logs.text()).To(gomega.MatchRegexp("event=PY2755 .*cut=%d ", drafts), "the line of the stop counts them")
}

// A draft comes while the process stops and can't be finished: it is refused as
// not run, by the stop.
func TestRefusedByThisProcesssStop(t *testing.T) {
	g, w := gomega.NewWithT(t), serving(t, 1, nil)
	w.stop()
	g.Eventually(w.logs.text).Should(gomega.ContainSubstring("event=PY2754"))
	g.Expect(w.send(ask{id: "r1", path: "/stream/1"}).head().Status).To(gomega.Equal(503))
	w.sawServers("r1")
	w.holds("r1", verdict{"stop", "PY2756", "It was refused because edge-1 was about to stop"})
}

// A process has just started and knows no configuration: 503, not run.
func TestRefusedByThisProcesssStart(t *testing.T) {
	g, w := gomega.NewWithT(t), newWorld(t, 1, nil)
	g.Eventually(w.listens).Should(gomega.BeTrue())
	g.Expect(w.send(ask{id: "r1", path: "/once/1"}).head().Status).To(gomega.Equal(503))
	w.sawServers("r1")
	w.holds("r1", verdict{"start", "PY2751", "had just started and knew no configuration yet"})
}

// No backend server of the service is listed: nothing ran anywhere, and the
// sentence blames no server that answered.
func TestRefusedForWantOfAServer(t *testing.T) {
	g, w := gomega.NewWithT(t), newWorld(t, 0, nil)
	w.addServer("other")
	w.configure(1, `"k0"`, append([]string{strings.ReplaceAll(testRoute("/other/", "idempotent", `"maxAttempts":1`), `"service":"s"`, `"service":"other"`)}, testRoutes...)...)
	g.Eventually(w.isReady, "10s", "10ms").Should(gomega.BeTrue())
	g.Expect(w.send(ask{id: "r1", path: "/once/1"}).head().Status).To(gomega.Equal(503))
	w.sawServers("r1")
	w.holds("r1", verdict{"no_server", "PY2721", "It was refused and has not run: no backend server took it"})
}
