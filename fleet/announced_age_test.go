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

// Guards against an announced list that counts for longer than a change may take. A
// watcher reads the whole list, as it does every ten seconds. Thousands of servers come in
// pages, so the answer is complete only 1.3 s after the request, with the position of its
// first page. Its announcement then replaced a read of the store for 1.35 s more, while
// the other watcher had just been killed. A server that announced its leave to the store
// when the first page was written got new work for 2.6 s.
func TestAnnouncedListAgeIsBounded(t *testing.T) {
	const leaveWithin = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		b := newTestElection()
		var store atomic.Uint64
		store.Store(1)
		read := func(context.Context) (follow.Update, error) {
			position := store.Load()
			return func() { b.position[List].Store(position) }, nil
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
		for range 10 { // both watchers read the store
			time.Sleep(500 * time.Millisecond)
			b.receiveFrom("p", healthy(1))
			b.receiveFrom("q", healthy(1))
		}
		asked := time.Now() // p requests the whole list; q is killed
		store.Store(2)
		time.Sleep(1300 * time.Millisecond)
		b.receiveFrom("p", announcement{healthy: true, listReadNow: 1300*time.Millisecond <= maxAnnouncedAge, list: at(1)})
		time.Sleep(leaveWithin - time.Since(asked))
		known := b.position[List].Load()
		stop()
		<-done
		g.Expect(known).To(gomega.BeNumerically("==", 2))
	})
}
