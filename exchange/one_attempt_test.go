package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// maxTogether is how long two servers may work on a stream: half of the 400 ms that the
// platform allows, so that the rest is left for the way there and back.
const maxTogether = 200 * time.Millisecond

// Guards against two servers that work on one stream: a takeover that was begun from a copy
// was dropped because the former server resumed, or won only after both had run for long.
func TestFormerAttemptEndsWhenAnotherBegins(t *testing.T) {
	for pause := 300 * time.Millisecond; pause <= 1500*time.Millisecond; pause += 25 * time.Millisecond {
		for _, first := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("pause of %v, first event after %v", pause, first), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					w := &workLog{}
					b := newTestbed(inOrder(w.recorded(pausing(pause)), w.recorded(pausing(first))))
					sink, err := runStream(t, b, streamRequest())
					time.Sleep(time.Second) // probes may be in flight
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
					g.Expect(w.together()).To(gomega.BeNumerically("<=", maxTogether))
				})
			})
		}
	}
}

// Guards against an attempt that is sent while the connection of the former one is not closed
// yet: its server does not know that it is to stop.
func TestNextAttemptIsSentOnceTheFormerConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		w := &workLog{}
		b := newTestbed(inOrder(closesLate(w.recorded(skips(50)), 80*time.Millisecond), w.recorded(streams(130, eventInterval, nil))))
		sink, err := runStream(t, b, streamRequest())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(sink.ids).To(gomega.Equal(consecutive(1, 130)))
		synctest.Wait()
		g.Expect(w.runs).To(gomega.HaveLen(2))
		g.Expect(w.runs[1].begun.Sub(w.runs[0].ended)).To(gomega.BeNumerically(">=", 80*time.Millisecond))
	})
}

// skips sends the first so many events, leaves one out and goes on until it is ended.
func skips(after int) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			for i := 1; sleep(ctx, eventInterval) == nil; i++ {
				id := i
				if i > after {
					id++
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			}
			_ = w.CloseWithError(ctx.Err())
		}()
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: r}, nil
	}
}

// closesLate plays a script whose body takes a while to close.
func closesLate(play script, after time.Duration) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		answer, err := play(ctx, a)
		if err == nil {
			answer.Body = &lateBody{answer.Body, after}
		}
		return answer, err
	}
}

type lateBody struct {
	Body
	after time.Duration
}

// Close implements Body.
func (b *lateBody) Close() error {
	time.Sleep(b.after)
	return b.Body.Close()
}
