package nursery

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// bounded starts a server whose engine is bound.
func bounded(t *testing.T, cloud *Cloud, is Engine) *Server {
	t.Helper()
	server, err := cloud.NewServer("llm", "a", func(own string) string { return own })
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Crash)
	server.SetEngine(is)
	return server
}

func newCloud(t *testing.T) *Cloud {
	t.Helper()
	store, err := NewStore()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	return NewCloud(store)
}

// slowGap makes a stream of two seconds.
const slowGap = 50 * time.Millisecond

// outcome is what a stream's caller saw.
type outcome struct {
	status, events int
	longest        time.Duration // between two events
}

func stream(t *testing.T, s *Server, id string, headers ...string) outcome {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address+"/stream/"+id, http.NoBody)
	if err != nil {
		t.Error(err)
		return outcome{}
	}
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Token-Usage", "1000,200")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return outcome{}
	}
	defer resp.Body.Close()
	got := outcome{status: resp.StatusCode}
	var last time.Time
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		if !strings.HasPrefix(scanner.Text(), "data: ") {
			continue
		}
		if now := time.Now(); !last.IsZero() {
			got.longest = max(got.longest, now.Sub(last))
		}
		last = time.Now()
		got.events++
	}
	return got
}

// runsOf waits until so many requests run.
func runsOf(t *testing.T, c *Cloud, n int) {
	t.Helper()
	gomega.NewWithT(t).Eventually(c.Ledger.Runs, "5s", "2ms").Should(gomega.HaveLen(n))
}

// The soak could not see streams that a sound engine holds up: the stand-in read
// a prompt beside its streams, in no time of theirs.
func TestPromptHoldsUpTheStreamsBesideIt(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	s := bounded(t, cloud, Engine{ReadLeast: 500 * time.Millisecond, ReadMost: 500 * time.Millisecond})
	s.EventGap.Store(int64(slowGap))
	first := make(chan outcome, 1)
	go func() { first <- stream(t, s, "first") }()
	runsOf(t, cloud, 1)
	time.Sleep(700 * time.Millisecond) // it makes events now, and for two seconds
	g.Expect(stream(t, s, "second").events).To(gomega.Equal(Events))
	got := <-first
	g.Expect(got.events).To(gomega.Equal(Events))
	g.Expect(got.longest).To(gomega.BeNumerically(">=", 450*time.Millisecond))
}

// An engine without room refuses: a request, and the copy of another's run, so
// that nothing can go on there.
func TestFullEngineRefuses(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	full, source := bounded(t, cloud, Engine{Memory: 1300}), bounded(t, cloud, Engine{})
	full.EventGap.Store(int64(slowGap))
	source.EventGap.Store(int64(slowGap))
	running := make(chan outcome, 1)
	go func() { running <- stream(t, full, "running") }()
	runsOf(t, cloud, 1)
	g.Expect(stream(t, full, "more").status).To(gomega.Equal(http.StatusServiceUnavailable))
	copied := make(chan outcome, 1)
	go func() { copied <- stream(t, source, "copied", "Kv-Backup", full.Address) }()
	runsOf(t, cloud, 2)
	g.Expect((<-running).events).To(gomega.Equal(Events))
	got := stream(t, full, "copied", "Kv-From", full.Address+"/copied", "Last-Event-Id", "5")
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect((<-copied).events).To(gomega.Equal(Events))

	// With room there is a copy. It can be gone on from once, and gives its room back.
	go func() { copied <- stream(t, source, "again", "Kv-Backup", full.Address) }()
	runsOf(t, cloud, 3)
	g.Expect(stream(t, full, "other").status).To(gomega.Equal(http.StatusServiceUnavailable))
	got = stream(t, full, "again", "Kv-From", full.Address+"/again", "Last-Event-Id", "30")
	g.Expect(got.events).To(gomega.Equal(Events - 30))
	got = stream(t, full, "again", "Kv-From", full.Address+"/again", "Last-Event-Id", "30")
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	<-copied
	g.Expect(stream(t, full, "last").events).To(gomega.Equal(Events))
}

// Two streams outgrow an engine's memory: the newest stops in its middle, is
// read again when the other has ended, and is whole.
func TestNewestStreamIsPreemptedAndGoesOn(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	s := bounded(t, cloud, Engine{Memory: 2200})
	ends := make(chan outcome, 2)
	for i := range 2 {
		go func() { ends <- stream(t, s, fmt.Sprintf("r%d", i)) }()
	}
	a, b := <-ends, <-ends
	g.Expect([]int{a.events, b.events}).To(gomega.Equal([]int{Events, Events}))
	g.Expect(a.longest).To(gomega.BeNumerically("<", b.longest))
	g.Expect(b.longest).To(gomega.BeNumerically(">", readPrompt+100*time.Millisecond))
}

// What a request took of an engine is given back when its caller leaves, also
// while it waits for memory.
func TestLeavingGivesMemoryBack(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	e := newEngine(Engine{Memory: 2010})
	a, _ := e.admit(1000, false)
	b, _ := e.admit(1000, false)
	for range 3 {
		g.Expect(e.step(t.Context(), a, "a")).To(gomega.BeTrue())
	}
	g.Expect(b.preempted).To(gomega.BeTrue())
	_, ok := e.admit(1, false)
	g.Expect(ok).To(gomega.BeFalse())
	left, leave := context.WithCancel(t.Context())
	leave()
	g.Expect(e.step(left, b, "b")).To(gomega.BeFalse())
	e.leave(b)
	e.leave(a)
	g.Expect(e.used).To(gomega.BeZero())
	_, ok = e.admit(2000, false)
	g.Expect(ok).To(gomega.BeTrue())
}
