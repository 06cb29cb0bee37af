package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/site"
)

// Guards against a nil timer when an attempt begins after its request has ended.
func TestAttemptStartedAfterTheRequestEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(streams(3, time.Millisecond, nil)))
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		s := b.newStream(streamRequest(), &recordingSink{})
		attempt := s.launch(ended, b.dir.View().Service("s")[0], nil, nil)
		g.Expect(attempt.end).NotTo(gomega.Panic())
		g.Expect(attempt.watch.eventReceived).NotTo(gomega.Panic())
	})
}

// Guards against sending a stream to a server after its deadline.
func TestStreamWithoutTimeIsRefusedAtOnce(t *testing.T) {
	for _, left := range []time.Duration{0, time.Millisecond, responseMargin} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newTestbed(everywhere(streams(3, time.Millisecond, nil)))
			req := streamRequest()
			req.Deadline = req.Arrived.Add(left)
			_, err := b.Stream(t.Context(), req, &recordingSink{})
			var failure *Failure
			g.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "%v", err)
			g.Expect(failure.Ran).To(gomega.BeFalse())
			g.Expect(failure.By).To(gomega.Equal(EndedByDeadline))
			g.Expect(time.Since(req.Arrived)).To(gomega.BeZero())
			g.Expect(b.backend.sent()).To(gomega.BeEmpty())
		})
	}
}

// Guards against sending a call to a server after its deadline: the caller of one that
// must not run twice would be told that it may have run, and could not send it again.
func TestCallWithoutTimeIsRefusedAtOnce(t *testing.T) {
	for _, left := range []time.Duration{0, time.Millisecond, responseMargin} {
		synctest.Test(t, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := newTestbed(everywhere(answers(200, "ok", time.Millisecond)))
			req := request(site.AtMostOnce)
			req.Deadline = req.Arrived.Add(left)
			_, err := b.Call(t.Context(), req)
			var failure *Failure
			g.Expect(errors.As(err, &failure)).To(gomega.BeTrue(), "%v", err)
			g.Expect(failure.Ran).To(gomega.BeFalse())
			g.Expect(failure.By).To(gomega.Equal(EndedByDeadline))
			g.Expect(b.backend.sent()).To(gomega.BeEmpty())
		})
	}
}

// Guards against trials of slow servers by streams that could not be complete at any
// speed: such a trial reads a prompt in vain and measures nothing.
func TestTrialNeedsTimeForTheAnswer(t *testing.T) {
	trials := func(t *testing.T, left time.Duration) int {
		b, engines := newEngineTestbed(8000)
		arrive(t, b, 8, 10*time.Second)
		for _, e := range engines {
			e.set(200)
		}
		arrive(t, b, 60, 500*time.Millisecond)
		before := reads(engines)
		for range 40 {
			req := streamRequest()
			req.Deadline = req.Arrived.Add(left)
			_, _ = b.Stream(t.Context(), req, &recordingSink{})
			time.Sleep(500 * time.Millisecond)
		}
		return reads(engines) - before
	}
	for _, left := range []time.Duration{time.Second, 1600 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			gomega.NewWithT(t).Expect(trials(t, left)).To(gomega.BeZero(), "%v", left)
		})
	}
	synctest.Test(t, func(t *testing.T) {
		gomega.NewWithT(t).Expect(trials(t, 25*time.Second)).To(gomega.BeNumerically(">", 0))
	})
}
