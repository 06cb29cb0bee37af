package fleet

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pearyard/pearyard/follow"
	"github.com/pearyard/pearyard/retry"
)

// A reader reads the whole list, as it does each ten seconds: thousands of servers
// come in pages and the answer is whole 1.3 s after it was asked for, with the
// place of its first page. It says so, and its word stands for a look at the store
// for 1.35 s more. The other reader has just been killed. A server that told the
// store that it leaves as the first page was written got new work for 2.6 s.
func TestWordOfAnOldAnswerStandsForNoLongerThanTheBound(t *testing.T) {
	const leaveWithin = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newElectionBed()
		var store atomic.Uint64
		store.Store(1)
		read := func(context.Context) (follow.Update, error) {
			place := store.Load()
			return func() { b.position[List].Store(place) }, nil
		}
		loop := &follow.Loop{LongPoll: time.Second, Share: b.For(List), Read: read,
			Next: func(ctx context.Context, wait time.Duration) (follow.Update, error) {
				for end := time.Now().Add(wait); time.Now().Before(end) && store.Load() == b.position[List].Load(); {
					if err := retry.Wait(ctx, 20*time.Millisecond); err != nil {
						return nil, err
					}
				}
				return read(ctx)
			}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- loop.Run(ctx) }()
		for range 10 { // both read
			time.Sleep(500 * time.Millisecond)
			b.hear("p", healthy(1))
			b.hear("q", healthy(1))
		}
		asked := time.Now() // p asks for the whole list; q is killed
		store.Store(2)
		time.Sleep(1300 * time.Millisecond)
		b.hear("p", announcement{healthy: true, listReadNow: 1300*time.Millisecond <= maxAge, list: at(1)})
		time.Sleep(leaveWithin - time.Since(asked))
		known := b.position[List].Load()
		stop()
		<-done
		g.Expect(known).To(gomega.BeNumerically("==", 2))
	})
}
