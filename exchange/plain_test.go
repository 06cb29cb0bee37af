package exchange

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/site"
)

// A call that prints a label breaks before its response. A second try would print it
// twice, and "not run" would make the caller try again itself: the failure must say
// that it may have run.
func TestAtMostOnceIsNotSentAgainOnceItMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(breaks()))
		_, err := b.Call(t.Context(), request(site.AtMostOnce))
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeTrue())
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// All servers are full for a moment and say that they did not run the call. The caller
// must be told at once that it has not run, and when to come back.
func TestRefusalByAllServersIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(refuses(Busy)))
		began := time.Now()
		_, err := b.Call(t.Context(), request(site.AtMostOnce))
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran).To(gomega.BeFalse())
		g.Expect(failure.RetryAfter).To(gomega.BeNumerically(">", 0))
		g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 50*time.Millisecond))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(maxNotRunTries))
	})
}

// A server that was just restarted refuses the connection. Nothing was sent, so even a
// call that runs at most once goes to another server.
func TestCallThatDidNotRunGoesToAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{
			"a1": {refuses(Refused)}, "a2": {refuses(Misdirected)}, "b1": {answers(200, "ok", 60*time.Millisecond)}, "b2": {refuses(Unreachable)},
		})
		for range 5 {
			reply, err := b.Call(t.Context(), request(site.AtMostOnce))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(reply.Body)).To(gomega.Equal("ok"))
		}
		// Servers found to have ended are not asked again: at most one miss each.
		g.Expect(len(b.backend.sent())).To(gomega.BeNumerically("<=", 5+3))
	})
}

// A server never answers an idempotent call whose objective is 300 ms. Another server
// must be asked early enough to meet it.
func TestIdempotentCallIsHedgedWithinItsObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		slow, fast := answers(200, "slow", time.Hour), answers(200, "fast", 60*time.Millisecond)
		b := newTestbed(map[string][]script{"a1": {slow}, "b1": {fast}}, "a1", "b1")
		for range 4 {
			req := request(site.Idempotent)
			reply, err := b.Call(t.Context(), req)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(string(reply.Body)).To(gomega.Equal("fast"))
			g.Expect(time.Since(req.Arrived)).To(gomega.BeNumerically("<", req.Route.Objective))
		}
	})
}

// A server's own error is a response: if no better one is available, it is forwarded
// unchanged, with its signature.
func TestErrorResponseIsForwardedIfThereIsNoBetterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(answers(500, "no stock", 10*time.Millisecond)))
		req := request(site.Idempotent)
		req.Route.MaxAttempts = 2
		reply, err := b.Call(t.Context(), req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Status).To(gomega.Equal(http.StatusInternalServerError))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(2))
	})
}

// The route times out while a server still works: the caller gets its failure then, not
// when the server is done, and isn't told that nothing ran.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(answers(200, "late", time.Hour)))
		req := request(site.AtMostOnce)
		_, err := b.Call(t.Context(), req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.Ran && failure.TimedOut).To(gomega.BeTrue())
		g.Expect(time.Since(req.Arrived)).To(gomega.BeNumerically("~", 4*time.Second, 10*time.Millisecond))
	})
}

// When a caller closes its connection, everything that runs for it is stopped at once,
// and nothing more is sent.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		stopped := make(chan time.Time, 1)
		b := newTestbed(everywhere(func(ctx context.Context, _ *Attempt) (*Answer, error) {
			<-ctx.Done()
			stopped <- time.Now()
			return nil, &BrokenError{Err: ctx.Err()}
		}))
		ctx, leave := context.WithCancel(t.Context())
		left := time.Now().Add(100 * time.Millisecond)
		time.AfterFunc(100*time.Millisecond, leave)
		_, err := b.Call(ctx, request(site.AtMostOnce))
		g.Expect(err).To(gomega.MatchError(context.Canceled))
		g.Expect((<-stopped).Sub(left)).To(gomega.BeNumerically("<", 10*time.Millisecond))
		g.Expect(b.backend.sent()).To(gomega.HaveLen(1))
	})
}

// Many servers fail at the same time, and each failed call asks for a retry. Beyond the
// budget callers get a failure, so that the remaining servers aren't overloaded.
func TestRetriesKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(breaks()))
		const calls = 100
		for range calls {
			_, _ = b.Call(t.Context(), request(site.Idempotent))
		}
		again := len(b.backend.sent()) - calls
		g.Expect(again).To(gomega.BeNumerically("<=", int(0.8*calls)+20))
	})
}

// The last line of a request must name the server that answered, and the configuration
// and list by which it was chosen: an engineer on call may have that line alone.
func TestLastLineNamesServerConfigurationAndList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{"a1": {answers(200, "ok", eventInterval)}}, "a1")
		req := request(site.AtMostOnce)
		req.Version, req.Organisation = 7, "o"
		_, err := b.Call(t.Context(), req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		last := b.recorder.Entries(req.ID)[0]
		g.Expect(last.ID).To(gomega.Equal(EventServed.ID()))
		for field, value := range map[string]string{"server": "a1", "version": "7", "list": "1", "organisation": "o", "status": "200"} {
			g.Expect(last.Fields).To(gomega.HaveKeyWithValue(field, value))
		}
	})
}
