package nursery

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// startStream sends a request for a stream and returns the function that closes its
// connection. It waits for the given number of events.
func startStream(t *testing.T, s *Server, id string, events int, headers ...string) context.CancelFunc {
	t.Helper()
	g := gomega.NewWithT(t)
	ctx, leave := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address+"/stream/"+id, strings.NewReader("body"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req.Header.Set("Attempt-Id", id)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	if events == 0 {
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		g.Eventually(s.cloud.Ledger.Works, "5s", "1ms").ShouldNot(gomega.BeEmpty())
		return leave
	}
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = resp.Body.Close() })
	lines := bufio.NewScanner(resp.Body)
	for events > 0 && lines.Scan() {
		if lines.Text() == "" {
			events--
		}
	}
	g.Expect(events).To(gomega.BeZero())
	return leave
}

// workAfter returns how long the only work went on after a moment, once it has ended, and the
// events that it made.
func workAfter(t *testing.T, s *Server, at time.Time) (time.Duration, int) {
	t.Helper()
	g := gomega.NewWithT(t)
	ended := func() bool { return !s.cloud.Ledger.Works()[0].End.IsZero() }
	g.Eventually(ended, "5s", "1ms").Should(gomega.BeTrue())
	g.Expect(s.cloud.Ledger.Works()).To(gomega.HaveLen(1))
	w := s.cloud.Ledger.Works()[0]
	return w.End.Sub(at), w.Events
}

// Guards against work that counts as going on although the caller has closed the connection,
// also while the prompt is read, and against a time of WorkOn that has no effect.
func TestWorkEndsWithItsConnection(t *testing.T) {
	const soon = 300 * time.Millisecond
	for _, c := range []struct {
		name    string
		prefill time.Duration
		events  int // that the caller awaits
		workOn  time.Duration
		atLeast time.Duration // of work after the close
	}{
		{name: "in the middle of the stream", events: 3},
		{name: "while the prompt is read", prefill: 2 * time.Second},
		{name: "at a server that works on", events: 3, workOn: 600 * time.Millisecond, atLeast: 500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			server := startLimited(t, newCloud(t), EngineLimits{MinPrefill: c.prefill, MaxPrefill: c.prefill})
			server.EventGap.Store(int64(slowEventGap))
			server.WorkOn(c.workOn)
			leave := startStream(t, server, "r1", c.events)
			left := time.Now()
			leave()
			worked, events := workAfter(t, server, left)
			g.Expect(worked).To(gomega.And(gomega.BeNumerically(">=", c.atLeast), gomega.BeNumerically("<", c.atLeast+soon+c.workOn/2)))
			g.Expect(events).To(gomega.BeNumerically(">=", c.events+int(c.atLeast/slowEventGap)/2))
		})
	}
}

// Guards against work that goes on after the crash of its server, and against a run from a
// copy that is not told from others.
func TestWorkFromACopyEndsWithItsServer(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	cloud := newCloud(t)
	server := startLimited(t, cloud, EngineLimits{})
	server.EventGap.Store(int64(slowEventGap))
	server.WorkOn(5 * time.Second)
	g.Expect(cloud.keepCopy("r1", server.Address, server.Address+"/r1", 1, 7)).To(gomega.BeTrue())
	startStream(t, server, "r1", 2, "Kv-From", server.Address+"/r1", "Last-Event-Id", "7")
	server.Crash()
	g.Expect(cloud.Ledger.Works()).To(gomega.HaveLen(1))
	w := cloud.Ledger.Works()[0]
	g.Expect(w.End).NotTo(gomega.BeZero())
	g.Expect(w.FromCopy).To(gomega.BeTrue())
	g.Expect(w.ResumedAfter).To(gomega.Equal(7))
	g.Expect(w.Events).To(gomega.BeNumerically(">=", 2))
	g.Expect(w.IsOn(w.Begin)).To(gomega.BeTrue())
	g.Expect(w.IsOn(w.End)).To(gomega.BeFalse())
}
