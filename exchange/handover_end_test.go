package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a server that works on after its stream ended during a handover.
func TestBothServersEndWithAStreamThatEndsDuringAHandover(t *testing.T) {
	handover := 50*eventInterval + 450*time.Millisecond
	for name, c := range map[string]struct {
		next script
		end  func(cancel context.CancelFunc, req *Request)
	}{
		"the caller leaves":       {hangs, func(cancel context.CancelFunc, _ *Request) { time.AfterFunc(handover+50*time.Millisecond, cancel) }},
		"the caller leaves later": {hangs, func(cancel context.CancelFunc, _ *Request) { time.AfterFunc(handover+acceptanceTime, cancel) }},
		"the time is up": {hangs, func(_ context.CancelFunc, req *Request) {
			req.Deadline = time.Now().Add(handover + 100*time.Millisecond + responseMargin)
		}},
		"the successor panics": {panics(50 * time.Millisecond), func(context.CancelFunc, *Request) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := &workLog{}
				b := newTestbed(inOrder(w.recorded(pausing(preemption)), w.recorded(headThen(c.next)), w.recorded(streams(130, eventInterval, nil))))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				req := streamRequest()
				c.end(cancel, req)
				func() {
					defer func() { _ = recover() }()
					_, _ = b.Stream(ctx, req, &recordingSink{start: time.Now()})
				}()
				ended := time.Now()
				synctest.Wait()
				g.Expect(w.runs).To(gomega.HaveLen(2))
				for _, run := range w.runs {
					g.Expect(run.ended).To(gomega.BeTemporally("~", ended, 0))
				}
				time.Sleep(time.Second) // probes may be in flight
			})
		})
	}
}

// headThen sends a head at once, and plays a script as its first event is read.
func headThen(play script) script {
	return func(ctx context.Context, a *Attempt) (*Answer, error) {
		return &Answer{Status: 200, Body: &playedBody{ctx: ctx, attempt: a, play: play}}, nil
	}
}

type playedBody struct {
	ctx     context.Context
	attempt *Attempt
	play    script
}

// Read implements Body.
func (b *playedBody) Read([]byte) (int, error) {
	_, err := b.play(b.ctx, b.attempt)
	return 0, err
}

// Close implements Body.
func (b *playedBody) Close() error { return nil }

// panics panics after a while.
func panics(after time.Duration) script {
	return func(ctx context.Context, _ *Attempt) (*Answer, error) {
		_ = sleep(ctx, after)
		panic("in a reading goroutine")
	}
}
