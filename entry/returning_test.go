package entry_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/platform"
	"github.com/pearyard/pearyard/standin/nursery"
)

// readEvent reads the next event and returns the version of the server that wrote it.
func (c *testCaller) readEvent() (version string) {
	for c.Err == nil {
		var line string
		line, c.Err = c.body.ReadString('\n')
		c.Lines++
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			return nursery.EventVersion(strings.TrimSpace(data))
		}
	}
	return ""
}

// crashServerOf crashes the server that ran a request and returns it.
func (env *testEnv) crashServerOf(request string) *nursery.Server {
	for _, run := range env.cloud.Ledger.Runs() {
		for _, s := range env.servers {
			if run.Request == request && run.Server == s.ID() {
				s.Crash()
				return s
			}
		}
	}
	env.t.Fatalf("no server ran %s", request)
	return nil
}

// allowUnordered lets servers of any version serve.
func allowUnordered(s *platform.Settings) { s.AllowUnordered = true }

// Guards against callers that are refused at a process that was in use before the version that
// began their stream joined.
func TestCallerReturnsToAProcessOlderThanTheVersionOfItsStream(t *testing.T) {
	g := gomega.NewWithT(t)
	older := startServing(t, 2, allowUnordered)
	g.Expect(older.send(testRequest{id: "before", path: "/stream/before"}).readHead().Status).To(gomega.Equal(200))
	for range 3 {
		older.addServerOfVersion("s", "v2")
	}
	g.Eventually(older.logs.text, "10s", "10ms").Should(gomega.MatchRegexp("event=PY2710 .*listed=5 "))
	newer := older.startPeer("edge-2")
	versions := map[string]int{}
	for i := range 12 {
		path := fmt.Sprintf("/stream/again/%d", i)
		first := newer.send(testRequest{id: fmt.Sprint("first-", i), path: path}).readHead()
		version := first.readEvent()
		g.Expect(first.conn.Close()).To(gomega.Succeed())
		again := older.send(testRequest{id: fmt.Sprint("again-", i), path: path, extraHeader: "Last-Event-Id: 1\r\nResumes: " + first.id + "\r\n"}).readHead()
		g.Expect(again.Status).To(gomega.Equal(200), version)
		g.Expect(again.readEvent()).To(gomega.Equal(version))
		g.Expect(again.conn.Close()).To(gomega.Succeed())
		versions[version]++
	}
	g.Expect(versions).To(gomega.HaveLen(2), "both versions serve")
}

// Guards against a process that serves at a version without an order because it started later.
func TestProcessThatStartsBesideAnUnorderedVersionDoesNotUseIt(t *testing.T) {
	g := gomega.NewWithT(t)
	older := startServing(t, 2, nil)
	for range 6 {
		older.addServerOfVersion("s", "v2")
	}
	g.Eventually(older.logs.text, "10s", "10ms").Should(gomega.MatchRegexp("event=PY2710 .*listed=8 "))
	newer := older.startPeer("edge-2")
	for i := range 12 {
		c := newer.send(testRequest{id: fmt.Sprint("r", i), path: fmt.Sprintf("/stream/again/%d", i)}).readHead()
		g.Expect(c.readEvent()).To(gomega.Equal("v1"))
		defer c.conn.Close()
	}
}

// Guards against a stream whose caller comes back, with the attempt that began it named, and
// that goes on at a server of another version: through the VM that it began at, and through
// another one.
func TestReturningCallerGoesOnAtTheVersionThatBeganItsStream(t *testing.T) {
	for name, other := range map[string]bool{"through the same VM": false, "through another VM": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			env := startServing(t, 2, allowUnordered)
			for range 3 {
				env.addServerOfVersion("s", "v2")
			}
			g.Eventually(env.logs.text, "10s", "10ms").Should(gomega.MatchRegexp("event=PY2710 .*listed=5 "))
			back := env
			if other {
				back = env.startPeer("edge-2")
			}
			for i := range 6 {
				path := fmt.Sprintf("/stream/again/%d", i)
				first := env.send(testRequest{id: fmt.Sprint("first-", i), path: path}).readHead()
				version := first.readEvent()
				first.readEvent()
				g.Expect(first.Err).NotTo(gomega.HaveOccurred())
				g.Expect(first.conn.Close()).To(gomega.Succeed())
				crashed := env.crashServerOf(first.id)
				again := back.send(testRequest{id: fmt.Sprint("again-", i), path: path, extraHeader: "Last-Event-Id: 2\r\nResumes: " + first.id + "\r\n"}).readHead()
				g.Expect(again.Status).To(gomega.Equal(200))
				g.Expect(again.readEvent()).To(gomega.Equal(version), "version that goes on")
				g.Expect(again.conn.Close()).To(gomega.Succeed())
				g.Expect(crashed.Restart()).To(gomega.Succeed())
				g.Eventually(back.logs.text, "10s", "10ms").Should(gomega.MatchRegexp("event=PY2710 .*joined=%s", startName(crashed)))
			}
		})
	}
}

// startWithTwoVersions starts a process in front of two servers of each of two versions.
func startWithTwoVersions(t *testing.T) *testEnv {
	env := startServing(t, 2, allowUnordered)
	env.addServerOfVersion("s", "v2")
	env.addServerOfVersion("s", "v2")
	gomega.NewWithT(t).Eventually(env.logs.text, "10s", "10ms").Should(gomega.MatchRegexp("event=PY2710 .*listed=4 "))
	return env
}

// replaceProcess ends a process and starts another one, which knows what the store has.
func (env *testEnv) replaceProcess() *testEnv {
	env.stop()
	<-env.ended
	return env.startPeer("edge-1")
}

// Guards against streams whose callers are refused after the loss of all entry VMs.
func TestVersionsOfStreamsOutliveAllProcesses(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startWithTwoVersions(t)
	began := map[string]string{}
	for i := range 6 {
		id := fmt.Sprint("first-", i)
		first := env.send(testRequest{id: id, path: fmt.Sprintf("/stream/again/%d", i)}).readHead()
		began[id] = first.readEvent()
		g.Expect(first.Err).NotTo(gomega.HaveOccurred())
		g.Expect(first.conn.Close()).To(gomega.Succeed())
	}
	later := env.replaceProcess()
	for i := range 6 {
		id := fmt.Sprint("first-", i)
		again := later.send(testRequest{id: fmt.Sprint("again-", i), path: fmt.Sprintf("/stream/again/%d", i), extraHeader: "Last-Event-Id: 1\r\nResumes: " + id + "\r\n"}).readHead()
		g.Expect(again.Status).To(gomega.Equal(200))
		g.Expect(again.readEvent()).To(gomega.Equal(began[id]))
	}
}

// Guards against a guess: beside two versions, a caller that names an attempt which is not
// known, or in a way that can't be read, is refused, and nothing runs.
func TestCallerThatNamesAnUnknownAttemptIsRefused(t *testing.T) {
	env := startWithTwoVersions(t).replaceProcess()
	for name, header := range map[string]string{
		"unknown": "Resumes: nobody\r\n", "empty": "Resumes: \r\n", "itself": "Resumes: again-itself\r\n", "repeated": "Resumes: a\r\nResumes: a\r\n",
		"oversized": "Resumes: " + strings.Repeat("a", 201) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			again := env.send(testRequest{id: "again-" + name, path: "/stream/again/1", extraHeader: "Last-Event-Id: 1\r\n" + header}).readHead()
			g.Expect(again.Status).To(gomega.Equal(503))
			g.Expect(again.Header.Get("Retry-After")).To(gomega.Equal("2.000"))
			g.Expect(env.lastLine(again.id).Fields).To(gomega.HaveKeyWithValue("ended_by", "version"))
			g.Expect(env.logs.text()).To(gomega.MatchRegexp("event=PY2780 .*request=%s .*how=unknown", again.id))
			for _, run := range env.cloud.Ledger.Runs() {
				g.Expect(run.Request).NotTo(gomega.Equal(again.id))
			}
		})
	}
}

// Guards against refusing callers that do not know of versions.
func TestCallerThatNamesNoAttemptGoesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	env := startWithTwoVersions(t).replaceProcess()
	again := env.send(testRequest{id: "again", path: "/stream/again/1", extraHeader: "Last-Event-Id: 1\r\n"}).readHead()
	g.Expect(again.Status).To(gomega.Equal(200))
	g.Expect(again.readEvent()).NotTo(gomega.BeEmpty())
}
