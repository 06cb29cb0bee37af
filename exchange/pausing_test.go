package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// pausing sends 50 events, nothing for the given time, and then the rest of 130.
func pausing(pause time.Duration) script {
	pauses := make([]time.Duration, 131)
	for i := range pauses {
		pauses[i] = eventInterval
	}
	pauses[51] = pause
	return paced(130, pauses...)
}

// preemption is how long a healthy server sends nothing for a stream that it preempted
// when it ran out of memory: it reads the prompt again, behind another one.
const preemption = 1200 * time.Millisecond

// A healthy server reads other prompts and preempts a stream for a second. Guards
// against taking the silence for a loss and ending the attempt before another server
// was found: there was none, and the response was cut off while the server could have
// continued. On a day without any failure 25 attempts were ended like that; nothing
// else spoke against any of their servers, whose own records say that the streams ran.
func TestStreamStaysAtAPausingServerWithoutATakeover(t *testing.T) {
	all := []string{"a1", "a2", "b1", "b2"}
	for name, c := range map[string]struct {
		servers []string
		change  func(*testbed, *Request)
	}{
		"others refuse":   {servers: all},
		"no other server": {servers: all[:1]},
		"the retry budget is spent": {servers: all, change: func(b *testbed, _ *Request) {
			b.opts.SharedBudget = &spentBudget{until: time.Now().Add(time.Hour)}
		}},
		"the route allows one server": {servers: all, change: func(_ *testbed, r *Request) { r.Route.MaxAttempts = 1 }},
		"it can't be resumed":         {servers: all, change: func(_ *testbed, r *Request) { r.Route.Resumable = false }},
		"no probe is answered": {servers: all, change: func(b *testbed, _ *Request) {
			for _, id := range all {
				b.backend.probes[id] = errHang
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(inOrder(pausing(preemption), refuses(Busy)), c.servers...)
				req := streamRequest()
				if c.change != nil {
					c.change(b, req)
				}
				sink, err := runStream(t, b, req)
				time.Sleep(DefaultProbeTimeout) // a probe may be in flight
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
			})
		})
	}
}

// As above, but all other servers are known to be too slow for the rest of the stream
// to be complete in time: they are not asked, and the stream stays where it is.
func TestStreamStaysAtAPausingServerIfOthersWouldBeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b, engines := newEngineTestbed(1000)
		arrive(t, b, 4, 20*time.Second)
		before := reads(engines)
		b.backend.scripts = inOrder(pausing(2*preemption), refuses(Busy))
		req := streamRequest()
		req.Deadline = req.Arrived.Add(8 * time.Second)
		sink, err := runStream(t, b, req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		g.Expect(reads(engines)).To(gomega.Equal(before))
	})
}

// A server pauses, another one refuses to take the stream over, and then the first one
// breaks it off: the stream resumes elsewhere, as after any break.
func TestStreamLeavesAPausingServerThatBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(pausesAndBreaks, refuses(Busy), streams(130, eventInterval, nil)))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
	})
}

// pausesAndBreaks sends 50 events and breaks off half a second later.
func pausesAndBreaks(ctx context.Context, a *Attempt) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, 50*eventInterval+500*time.Millisecond)
	context.AfterFunc(ctx, cancel)
	return streams(50, eventInterval, errHang)(ctx, a)
}
