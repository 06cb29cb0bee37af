package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/site"
)

// endOfRequest returns which side ended a request, and the id of the event that says so.
func endOfRequest(b *testbed, id string) (by, endEvent string) {
	for _, entry := range b.recorder.Entries(id) {
		if by := entry.Fields[event.FieldEndedBy]; by != "" {
			return by, entry.ID
		}
	}
	return "", ""
}

// When a caller leaves, the connections to its server are closed, which breaks the
// attempts. Guards against blaming the server when the attempt's end is seen before the
// caller's: it was said to have broken off, got a fault and was probed for a crash.
func TestLeavingCallerIsNotBlamedOnTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const calls = 2000
		var leave context.CancelFunc
		b := newTestbed(everywhere(func(context.Context, *Attempt) (*Answer, error) {
			leave()
			return nil, &BrokenError{Err: net.ErrClosed}
		}))
		for i := range calls {
			req := request(site.AtMostOnce)
			req.ID = fmt.Sprintf("r%d", i)
			var ctx context.Context
			ctx, leave = context.WithCancel(t.Context())
			_, _ = b.Call(ctx, req)
			leave()
			by, endEvent := endOfRequest(b, req.ID)
			g.Expect(by).To(gomega.Equal(string(EndedByCaller)))
			g.Expect(endEvent).To(gomega.Equal(EventCallerLeft.ID()))
		}
	})
}

// A caller closes its connection as its own deadline passes, a moment before this
// process's clock says so: the request arrived some time after the caller started to
// wait. That counts as the deadline, not as the caller's choice. A route's timeout is
// not known to callers.
func TestCallerThatLeavesAtItsDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		early   time.Duration
		untilBy EndedBy
		by      EndedBy
	}{
		"at its deadline":    {20 * time.Millisecond, EndedByDeadline, EndedByDeadline},
		"before it":          {callerSlack + time.Millisecond, EndedByDeadline, EndedByCaller},
		"at a route's limit": {20 * time.Millisecond, EndedByRouteTimeout, EndedByCaller},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(everywhere(answers(http.StatusOK, "late", time.Hour)))
				req := request(site.AtMostOnce)
				req.DeadlineBy = c.untilBy
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(time.Until(req.Deadline)-c.early, leave)
				_, err := b.Call(ctx, req)
				g.Expect(err).To(gomega.MatchError(context.Canceled))
				by, endEvent := endOfRequest(b, req.ID)
				g.Expect(by).To(gomega.Equal(string(c.by)))
				g.Expect(endEvent).To(gomega.Equal(EventCallerLeft.ID()))
			})
		})
	}
}

// A server sends nothing until the request's deadline. Guards against a last line with
// sent=0 and no server, as if the request had not been sent anywhere.
func TestTimeoutLineNamesTheAwaitedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(map[string][]script{"a1": {answers(http.StatusOK, "late", time.Hour)}}, "a1")
		req := request(site.AtMostOnce)
		_, err := b.Call(t.Context(), req)
		g.Expect(err).To(gomega.MatchError(ErrTimeout))
		last := b.recorder.Entries(req.ID)[0]
		g.Expect(last.Fields).To(gomega.HaveKeyWithValue("server", "a1"))
		g.Expect(last.Fields).To(gomega.HaveKeyWithValue("pending", "1"))
	})
}

// A server's own error response is forwarded. The request is answered completely, and
// the side that ended it is the server.
func TestErrorResponseIsEndedByTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(answers(http.StatusInternalServerError, "no stock", eventInterval)))
		req := request(site.AtMostOnce)
		_, err := b.Call(t.Context(), req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		by, endEvent := endOfRequest(b, req.ID)
		g.Expect(by).To(gomega.Equal(string(EndedByServer)))
		g.Expect(endEvent).To(gomega.Equal(EventServed.ID()))
	})
}

// A request that has crashed several servers is refused. Its line and the counter must
// give the limit as the reason.
func TestQuarantineIsEndedByTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(everywhere(answers(http.StatusOK, "ok", eventInterval)))
		req := request(site.AtMostOnce)
		for _, server := range []string{"x", "y", "z"} {
			b.suspects.RecordWeightedDeath(server, req.Fingerprint(), false)
		}
		_, err := b.Call(t.Context(), req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.By).To(gomega.Equal(EndedByLimit))
		by, endEvent := endOfRequest(b, req.ID)
		g.Expect(by).To(gomega.Equal(string(EndedByLimit)))
		g.Expect(endEvent).To(gomega.Equal(EventQuarantined.ID()))
	})
}

// Writing to the caller of a stream fails before net/http has noticed that the
// connection is gone. Guards against logging that as a failure, as if the server had
// broken off.
func TestFailedWriteIsEndedByTheCaller(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		by       EndedBy
		endEvent string
	}{
		"closed":  {syscall.EPIPE, EndedByCaller, EventCallerLeft.ID()},
		"reset":   {syscall.ECONNRESET, EndedByCallerLink, EventCallerLost.ID()},
		"timeout": {syscall.ETIMEDOUT, EndedByCallerLink, EventCallerLost.ID()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newTestbed(everywhere(streams(10, eventInterval, nil)))
				req := streamRequest()
				_, err := b.Stream(t.Context(), req, failingSink{c.err})
				g.Expect(err).To(gomega.MatchError(c.err))
				by, endEvent := endOfRequest(b, req.ID)
				g.Expect(by).To(gomega.Equal(string(c.by)))
				g.Expect(endEvent).To(gomega.Equal(c.endEvent))
			})
		})
	}
}

// failingSink is a caller that can't be written to.
type failingSink struct{ err error }

// Begin implements Sink.
func (failingSink) Begin(int, http.Header) error { return nil }

// Event implements Sink.
func (s failingSink) Event([]byte) error { return s.err }
