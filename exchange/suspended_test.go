package exchange

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/site"
)

// refusesUntil refuses in a way until a moment, and plays then otherwise.
func refusesUntil(end time.Time, reason NotRunReason, then script) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		if time.Now().Before(end) {
			return nil, &NotRunError{Reason: reason, Err: io.ErrClosedPipe}
		}
		return then(ctx, a)
	}
}

// Guards against a service that gets no answers after its only server's link has refused connections or its address
// has answered 421 for a while.
func TestServerIsInUseAgainAfterARefusingLink(t *testing.T) {
	for _, reason := range []NotRunReason{Refused, Misdirected} {
		for _, kind := range []site.Kind{site.Idempotent, site.AtMostOnce, site.Stream} {
			t.Run(string(reason)+" "+kind.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					const cut, back = 5 * time.Second, 4500 * time.Millisecond
					then := answers(200, "ok", 10*time.Millisecond)
					if kind == site.Stream {
						then = streams(3, eventInterval, nil)
					}
					start := time.Now()
					b := newTestbed(map[string][]script{"a1": {refusesUntil(start.Add(cut), reason, then)}}, "a1")
					served, sent := 0, 0
					for time.Since(start) < cut+2*back {
						req := request(kind)
						var err error
						if kind == site.Stream {
							_, err = runStream(t, b, req)
						} else {
							_, err = b.Call(t.Context(), req)
						}
						if time.Since(start) > cut+back {
							if sent++; err == nil {
								served++
							}
						}
						time.Sleep(50 * time.Millisecond)
					}
					g.Expect(sent).To(gomega.BeNumerically(">", 5))
					g.Expect(served).To(gomega.Equal(sent), "of the requests once the server must be in use again")
				})
			})
		}
	}
}

// Guards against a server that is out of use because one request asks for a version that it doesn't have.
func TestServerStaysInUseAfterAWrongVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestbed(inOrder(refuses(WrongVersion), answers(200, "ok", 0)), "a1")
		_, err := b.Call(t.Context(), request(site.AtMostOnce))
		g.Expect(err).To(gomega.HaveOccurred())
		_, err = b.Call(t.Context(), request(site.AtMostOnce))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	})
}
