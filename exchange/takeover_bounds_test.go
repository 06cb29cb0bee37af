package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
)

// A server pauses, and another one would take the stream over. It must not be asked
// where the route allows one server, the stream can't be resumed, or the retry budget
// is spent: when many servers pause at once, each stream's prompt would be sent to
// another server as well.
func TestNoTakeoverWithoutPermission(t *testing.T) {
	for name, change := range map[string]func(*testbed, *Request){
		"the route allows one server": func(_ *testbed, r *Request) { r.Route.MaxAttempts = 1 },
		"it can't be resumed":         func(_ *testbed, r *Request) { r.Route.Resumable = false },
		"the retry budget is spent":   func(b *testbed, _ *Request) { b.opts.SharedBudget = &spentBudget{until: time.Now().Add(time.Hour)} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(pausing(preemption), streams(130, eventInterval, nil)))
				req := streamRequest()
				change(b, req)
				sink, err := runStream(t, b, req)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
				g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
			})
		})
	}
}

// A stream whose server pauses is taken over by another one: that costs one retry of
// the service's budget, also if the first server resumes before the other one has sent an event.
func TestTakeoverCostsOneRetry(t *testing.T) {
	for name, next := range map[string]script{"its first event comes at once": streams(130, eventInterval, nil), "it comes late": pausing(300 * time.Millisecond)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(pausing(preemption), next))
				budget := &countingBudget{}
				b.opts.SharedBudget = budget
				_, err := runStream(t, b, streamRequest())
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(budget.taken).To(gomega.Equal(1))
			})
		})
	}
}

// A zone loses its network, and the streams that ran there fall silent together, more
// than this VM may retry before the others know. A stream that finds the budget spent
// asks again a moment later and resumes within the pause that callers allow. Guards
// against asking again only 0.4 s later, which took longer than that pause.
func TestSilentStreamWaitsForTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(streams(50, eventInterval, errHang), streams(130, eventInterval, nil)))
		b.opts.SharedBudget = &spentBudget{until: time.Now().Add(50*eventInterval + DefaultSilence + 150*time.Millisecond)}
		for id := range b.backend.scripts {
			b.backend.probes[id] = errHang
		}
		sink, err := runStream(t, b, streamRequest())
		time.Sleep(time.Second) // probes may be in flight
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(sink.longest).To(gomega.BeNumerically("<", 650*time.Millisecond))
	})
}

// Servers read a prompt in a second, callers allow pauses of 0.7 s, and there is no
// copy. A healthy server that pauses keeps its stream: read again elsewhere it would be
// late too, and delay the streams there.
func TestPromptIsNotReadAgainIfThatWouldBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausing(preemption), streams(130, eventInterval, nil)))
		b.opts.Services = func(string) (site.Service, bool) { return site.Service{Name: "s"}, true }
		b.measurePrompts(time.Second)
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}
