package follow

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// run runs a loop in virtual time for d.
func run(t *testing.T, l *Loop, d time.Duration) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	time.Sleep(d)
	stop()
	<-done
}

// waitFor waits like a request for changes that gets an empty response.
func waitFor(ctx context.Context, wait time.Duration) (Update, error) {
	select {
	case <-time.After(wait):
		return func() {}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A list of thousands of servers arrives in pages over a slow link and takes two seconds
// in total. Each page shows that the store responds: the list must not be requested a
// second time, which would congest the link.
func TestArrivingResponseIsNotRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reads, applied := atomic.Int32{}, atomic.Int32{}
		loop := &Loop{LongPoll: time.Second, Next: waitFor, Read: func(ctx context.Context) (Update, error) {
			reads.Add(1)
			for range 5 {
				if _, err := waitFor(ctx, 400*time.Millisecond); err != nil {
					return nil, err
				}
				httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			}
			return func() { applied.Add(1) }, nil
		}}
		run(t, loop, 5*time.Second)
		g.Expect(reads.Load()).To(gomega.BeNumerically("==", 1))
		g.Expect(applied.Load()).To(gomega.BeNumerically("==", 1))
	})
}

// The store stops in the middle of a list. The missing page is detected early enough for
// the next request to get its response within the two seconds in which a change must be
// in force, however many pages came before; the request is cancelled some seconds after
// its last page.
func TestMissingPageIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		began := time.Now()
		var secondAt, cancelledAt atomic.Int64 // since began
		reads := atomic.Int32{}
		loop := &Loop{LongPoll: time.Second, Next: waitFor, Read: func(ctx context.Context) (Update, error) {
			if reads.Add(1) > 1 {
				secondAt.CompareAndSwap(0, int64(time.Since(began)))
				<-ctx.Done()
				return nil, ctx.Err()
			}
			_, _ = waitFor(ctx, 400*time.Millisecond)
			httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			<-ctx.Done()
			cancelledAt.Store(int64(time.Since(began)))
			return nil, ctx.Err()
		}}
		run(t, loop, 10*time.Second)
		g.Expect(time.Duration(secondAt.Load())).To(gomega.BeNumerically("<=", 400*time.Millisecond+pageTimeout+minRetryDelay+maxExtraDelay))
		g.Expect(pageTimeout + minRetryDelay + maxExtraDelay).To(gomega.BeNumerically("<", 2*time.Second))
		g.Expect(time.Duration(cancelledAt.Load())).To(gomega.Equal(400*time.Millisecond + requestLifetime))
	})
}

// The store is down for a minute. It gets a request at least every 1.1 s, since a change
// after its return must be known within two seconds, but not many more, since each call is
// charged. Open requests must not pile up.
func TestSilentStoreGetsRequestsAtASteadyRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var last time.Time
		var longest time.Duration
		reads, open, most := 0, atomic.Int32{}, int32(0)
		sent := make(chan struct{}, 1000)
		loop := &Loop{LongPoll: time.Second, Next: waitFor, Read: func(ctx context.Context) (Update, error) {
			open.Add(1)
			defer open.Add(-1)
			sent <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			<-sent
			if reads++; reads > 1 {
				longest = max(longest, time.Since(last))
			}
			last = time.Now()
			most = max(most, open.Load())
		}
		stop()
		<-done
		g.Expect(longest).To(gomega.BeNumerically("<=", responseTimeout+minRetryDelay+maxExtraDelay))
		g.Expect(reads).To(gomega.BeNumerically("<", 100))
		g.Expect(most).To(gomega.BeNumerically("<=", maxOpenRequests+1), "a cancelled request may end while the next one starts")
	})
}
