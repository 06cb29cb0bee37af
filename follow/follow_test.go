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

// run runs a loop in virtual time for a while.
func run(t *testing.T, l *Loop, d time.Duration) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	time.Sleep(d)
	stop()
	<-done
}

func waitOut(ctx context.Context, wait time.Duration) (Update, error) {
	select {
	case <-time.After(wait):
		return func() {}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A list of thousands of servers comes in pages over a small link and takes two
// seconds as a whole. Each page shows that the store answers: the list is not
// asked for a second time beside it, which would choke the link.
func TestAnswerThatIsComingIsNotAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		reads, taken := atomic.Int32{}, atomic.Int32{}
		loop := &Loop{Wait: time.Second, Next: waitOut, Read: func(ctx context.Context) (Update, error) {
			reads.Add(1)
			for range 5 {
				if _, err := waitOut(ctx, 400*time.Millisecond); err != nil {
					return nil, err
				}
				httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			}
			return func() { taken.Add(1) }, nil
		}}
		run(t, loop, 5*time.Second)
		g.Expect(reads.Load()).To(gomega.BeNumerically("==", 1))
		g.Expect(taken.Load()).To(gomega.BeNumerically("==", 1))
	})
}

// The store stops in the middle of a list. The page that does not come is
// noticed so soon that the next question is answered within the two seconds in
// which a change must be in force, however many pages came before; the question
// ends some seconds after its last page.
func TestPageThatDoesNotComeIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		began := time.Now()
		var again, given atomic.Int64 // since began
		reads := atomic.Int32{}
		loop := &Loop{Wait: time.Second, Next: waitOut, Read: func(ctx context.Context) (Update, error) {
			if reads.Add(1) > 1 {
				again.CompareAndSwap(0, int64(time.Since(began)))
				<-ctx.Done()
				return nil, ctx.Err()
			}
			_, _ = waitOut(ctx, 400*time.Millisecond)
			httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			<-ctx.Done()
			given.Store(int64(time.Since(began)))
			return nil, ctx.Err()
		}}
		run(t, loop, 10*time.Second)
		g.Expect(time.Duration(again.Load())).To(gomega.BeNumerically("<=", 400*time.Millisecond+nextPage+retryPause+maxPause))
		g.Expect(nextPage + retryPause + maxPause).To(gomega.BeNumerically("<", 2*time.Second))
		g.Expect(time.Duration(given.Load())).To(gomega.Equal(400*time.Millisecond + questionLife))
	})
}

// The store is away for a minute. It is asked at least each 1.1 s, as a change
// after its return must be known within two seconds, and not much more often,
// since calls are priced; questions that nobody waits for don't pile up.
func TestSilentStoreIsAskedAtASteadyPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var last time.Time
		var longest time.Duration
		reads, open, most := 0, atomic.Int32{}, int32(0)
		asked := make(chan struct{}, 1000)
		loop := &Loop{Wait: time.Second, Next: waitOut, Read: func(ctx context.Context) (Update, error) {
			open.Add(1)
			defer open.Add(-1)
			asked <- struct{}{}
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		for end := time.Now().Add(time.Minute); time.Now().Before(end); {
			<-asked
			if reads++; reads > 1 {
				longest = max(longest, time.Since(last))
			}
			last = time.Now()
			most = max(most, open.Load())
		}
		stop()
		<-done
		g.Expect(longest).To(gomega.BeNumerically("<=", answerWithin+retryPause+maxPause))
		g.Expect(reads).To(gomega.BeNumerically("<", 100))
		g.Expect(most).To(gomega.BeNumerically("<=", openQuestions+1), "one that is given up ends beside the next")
	})
}
