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
	"github.com/pearyard/pearyard/types"
)

// endOfRequest returns the reason and the number of a request's last line.
func endOfRequest(b *bed, id string) (by, number string) {
	for _, entry := range b.recorder.Entries(id) {
		if by := entry.Fields[event.FieldEndedBy]; by != "" {
			return by, entry.ID
		}
	}
	return "", ""
}

// Callers leave while a server works for them. Their leaving closes the
// connections to the server, which breaks the attempts: the server was said to
// have broken off, was held at fault and asked whether it had crashed, whenever
// the attempt's end was seen before the caller's.
func TestCallersLeavingIsNoFaultOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const calls = 2000
		var leave context.CancelFunc
		b := newBed(everywhere(func(context.Context, *Attempt) (*Answer, error) {
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
			by, number := endOfRequest(b, req.ID)
			g.Expect(by).To(gomega.Equal(string(EndedByCaller)))
			g.Expect(number).To(gomega.Equal(EventCallerLeft.ID()))
		}
	})
}

// A caller closes its connection as its own deadline passes, a moment before
// this process's clock says so: the request arrived some time after the caller
// began to wait. The deadline ended it, not a change of mind. The time of a
// route is none that a caller knows.
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
				b := newBed(everywhere(answers(http.StatusOK, "late", time.Hour)))
				req := request(site.AtMostOnce)
				req.UntilBy = c.untilBy
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(time.Until(req.Until)-c.early, leave)
				_, err := b.Call(ctx, req)
				g.Expect(err).To(gomega.MatchError(context.Canceled))
				by, number := endOfRequest(b, req.ID)
				g.Expect(by).To(gomega.Equal(string(c.by)))
				g.Expect(number).To(gomega.Equal(EventCallerLeft.ID()))
			})
		})
	}
}

// A server says nothing until the request's time is up. Its line said sent=0 and
// named no server, as if the request had not been sent anywhere.
func TestLineOfATimeoutNamesTheServerThatWasWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(map[string][]script{"a1": {answers(http.StatusOK, "late", time.Hour)}}, "a1")
		req := request(site.AtMostOnce)
		_, err := b.Call(t.Context(), req)
		g.Expect(err).To(gomega.MatchError(ErrTimeout))
		last := b.recorder.Entries(req.ID)[0]
		g.Expect(last.Fields).To(gomega.HaveKeyWithValue("server", "a1"))
		g.Expect(last.Fields).To(gomega.HaveKeyWithValue("pending", "1"))
	})
}

// A server answers with a failure of its own, which is passed on. The request
// has its whole answer; who failed is the server.
func TestOwnFailureIsTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(answers(http.StatusInternalServerError, "no stock", beat)))
		req := request(site.AtMostOnce)
		_, err := b.Call(t.Context(), req)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		by, number := endOfRequest(b, req.ID)
		g.Expect(by).To(gomega.Equal(string(EndedByServer)))
		g.Expect(number).To(gomega.Equal(EventServed.ID()))
	})
}

// A request has crashed several servers and comes again. The limit refuses it,
// in its line and in the counter.
func TestQuarantineIsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newBed(everywhere(answers(http.StatusOK, "ok", beat)))
		req := request(site.AtMostOnce)
		for _, server := range []string{"x", "y", "z"} {
			b.suspects.RecordDeath(server, []types.Fingerprint{req.Fingerprint()})
		}
		_, err := b.Call(t.Context(), req)
		var failure *Failure
		g.Expect(errors.As(err, &failure)).To(gomega.BeTrue())
		g.Expect(failure.By).To(gomega.Equal(EndedByLimit))
		by, number := endOfRequest(b, req.ID)
		g.Expect(by).To(gomega.Equal(string(EndedByLimit)))
		g.Expect(number).To(gomega.Equal(EventQuarantined.ID()))
	})
}

// The caller of a stream can't be written to any more while net/http has not
// noticed yet. It was logged as failed, like the work of a server that broke off.
func TestUnwrittenStreamIsTheCallersSide(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		by     EndedBy
		number string
	}{
		"closed":  {syscall.EPIPE, EndedByCaller, EventCallerLeft.ID()},
		"reset":   {syscall.ECONNRESET, EndedByCallerLink, EventCallerLost.ID()},
		"timeout": {syscall.ETIMEDOUT, EndedByCallerLink, EventCallerLost.ID()},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				b := newBed(everywhere(streams(10, beat, nil)))
				req := streamRequest()
				_, err := b.Stream(t.Context(), req, deafSink{c.err})
				g.Expect(err).To(gomega.MatchError(c.err))
				by, number := endOfRequest(b, req.ID)
				g.Expect(by).To(gomega.Equal(string(c.by)))
				g.Expect(number).To(gomega.Equal(c.number))
			})
		})
	}
}

// deafSink is a caller that takes no event.
type deafSink struct{ err error }

// Begin implements Sink.
func (deafSink) Begin(int, http.Header) error { return nil }

// Event implements Sink.
func (s deafSink) Event([]byte) error { return s.err }
