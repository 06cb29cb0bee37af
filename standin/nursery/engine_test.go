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

// startLimited starts a server whose engine has the given limits.
func startLimited(t *testing.T, cloud *Cloud, limits EngineLimits) *Server {
	t.Helper()
	server, err := cloud.NewServer("llm", "a", func(own string) string { return own })
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(server.Crash)
	server.SetEngineLimits(limits)
	return server
}

func newCloud(t *testing.T) *Cloud {
	t.Helper()
	store, err := NewStore()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(store.Close)
	return NewCloud(store)
}

// slowEventGap makes a stream of 40 events last two seconds.
const slowEventGap = 50 * time.Millisecond

// outcome is what a stream's caller observed.
type outcome struct {
	status, events int
	longestGap     time.Duration // longest gap between two events
}

// stream sends a request for a stream and reads it to its end. headers are pairs of
// name and value.
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
			got.longestGap = max(got.longestGap, now.Sub(last))
		}
		last = time.Now()
		got.events++
	}
	return got
}

// awaitRuns waits until n runs have begun.
func awaitRuns(t *testing.T, c *Cloud, n int) {
	t.Helper()
	gomega.NewWithT(t).Eventually(c.Ledger.Runs, "5s", "2ms").Should(gomega.HaveLen(n))
}

// Guards against a stand-in whose prefills don't delay other streams: the soak
// test could then not detect wrong reactions to pauses of a healthy engine.
func TestPrefillPausesOtherStreams(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	s := startLimited(t, cloud, EngineLimits{MinPrefill: 500 * time.Millisecond, MaxPrefill: 500 * time.Millisecond})
	s.EventGap.Store(int64(slowEventGap))
	first := make(chan outcome, 1)
	go func() { first <- stream(t, s, "first") }()
	awaitRuns(t, cloud, 1)
	time.Sleep(700 * time.Millisecond) // its own prefill, 80 + 500 ms, is over; it produces events for two seconds
	g.Expect(stream(t, s, "second").events).To(gomega.Equal(Events))
	got := <-first
	g.Expect(got.events).To(gomega.Equal(Events))
	g.Expect(got.longestGap).To(gomega.BeNumerically(">=", 450*time.Millisecond))
}

// A full engine refuses requests. It also refuses to hold a KV copy of a run on
// another server, so that the run can't be resumed there. A request takes 1000 tokens
// for its prompt and 200 for 40 events, so that the memory has room for one.
func TestFullEngineRefuses(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	full, source := startLimited(t, cloud, EngineLimits{Memory: 1300}), startLimited(t, cloud, EngineLimits{})
	full.EventGap.Store(int64(slowEventGap))
	source.EventGap.Store(int64(slowEventGap))
	running := make(chan outcome, 1)
	go func() { running <- stream(t, full, "running") }()
	awaitRuns(t, cloud, 1)
	g.Expect(stream(t, full, "more").status).To(gomega.Equal(http.StatusServiceUnavailable))
	copied := make(chan outcome, 1)
	go func() { copied <- stream(t, source, "copied", "Kv-Backup", full.Address) }()
	awaitRuns(t, cloud, 2)
	g.Expect((<-running).events).To(gomega.Equal(Events))
	got := stream(t, full, "copied", "Kv-From", full.Address+"/copied", "Last-Event-Id", "5")
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect((<-copied).events).To(gomega.Equal(Events))

	// With enough memory the copy is held. One request can resume from it, and its
	// memory is freed afterwards.
	go func() { copied <- stream(t, source, "again", "Kv-Backup", full.Address) }()
	awaitRuns(t, cloud, 3)
	g.Expect(stream(t, full, "other").status).To(gomega.Equal(http.StatusServiceUnavailable))
	got = stream(t, full, "again", "Kv-From", full.Address+"/again", "Last-Event-Id", "30")
	g.Expect(got.events).To(gomega.Equal(Events - 30))
	got = stream(t, full, "again", "Kv-From", full.Address+"/again", "Last-Event-Id", "30")
	g.Expect(got.status).To(gomega.Equal(http.StatusServiceUnavailable))
	<-copied
	g.Expect(stream(t, full, "last").events).To(gomega.Equal(Events))
}

// Two streams outgrow an engine's memory, since they take 2000 tokens at their start
// and 2400 at their end. The newest is preempted, is prefilled again when the other has
// ended, and still delivers every event.
func TestNewestStreamIsPreemptedAndCompletes(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	s := startLimited(t, cloud, EngineLimits{Memory: 2200})
	ends := make(chan outcome, 2)
	for i := range 2 {
		go func() { ends <- stream(t, s, fmt.Sprintf("r%d", i)) }()
	}
	a, b := <-ends, <-ends
	g.Expect([]int{a.events, b.events}).To(gomega.Equal([]int{Events, Events}))
	g.Expect(a.longestGap).To(gomega.BeNumerically("<", b.longestGap))
	g.Expect(b.longestGap).To(gomega.BeNumerically(">", defaultPrefill+100*time.Millisecond))
}

// A request's memory is freed when its caller disconnects, also while the request
// is preempted and waits for memory.
func TestDisconnectFreesMemory(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	e := newEngine(EngineLimits{Memory: 2010}, DefaultVersion) // two prompts and two events; the third event preempts b
	a, _ := e.admit(t.Context(), 1000, neutralPriority, false)
	b, _ := e.admit(t.Context(), 1000, neutralPriority, false)
	for range 3 {
		g.Expect(e.step(t.Context(), a, "a")).To(gomega.BeTrue())
	}
	g.Expect(b.preempted).To(gomega.BeTrue())
	_, ok := e.admit(t.Context(), 1, neutralPriority, false)
	g.Expect(ok).To(gomega.BeFalse())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(e.step(ctx, b, "b")).To(gomega.BeFalse())
	e.release(b)
	e.release(a)
	g.Expect(e.used).To(gomega.BeZero())
	_, ok = e.admit(t.Context(), 2000, neutralPriority, false)
	g.Expect(ok).To(gomega.BeTrue())
}
