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

// Guards against an announced list that counts for longer than a change may take. A whole
// list of thousands of servers was complete only 1.3 s after a watcher's request, and held
// the state at the first page. Its announcement replaced a read of the store for 1.35 s more
// while the other watcher was down, so a leaving server got new work for 2.6 s.
func TestAnnouncedListAgeIsBounded(t *testing.T) {
	const leaveWithin = 2 * time.Second // after its leave a server must get no new work
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newTestElection()
		var store atomic.Uint64
		store.Store(1)
		read := func(context.Context) (follow.Update, error) {
			position := store.Load()
			return func() { e.position[List].Store(position) }, nil
		}
		loop := &follow.Loop{LongPoll: time.Second, Share: e.For(List), Read: read,
			Next: func(ctx context.Context, wait time.Duration) (follow.Update, error) {
				for end := time.Now().Add(wait); time.Now().Before(end) && store.Load() == e.position[List].Load(); {
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
			e.receiveFrom("p", healthy(1))
			e.receiveFrom("q", healthy(1))
		}
		asked := time.Now() // p requests the whole list; q is killed
		store.Store(2)
		time.Sleep(1300 * time.Millisecond)
		e.receiveFrom("p", announcement{healthy: true, listReadNow: 1300*time.Millisecond <= maxAnnouncedAge, list: at(1)})
		time.Sleep(leaveWithin - time.Since(asked))
		known := e.position[List].Load()
		stop()
		<-done
		g.Expect(known).To(gomega.BeNumerically("==", 2))
	})
}
