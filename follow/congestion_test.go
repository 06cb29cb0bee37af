package follow

import (
	"context"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// sharedLink is a network link that transfers pages of responses; concurrent transfers
// share it evenly.
type sharedLink struct {
	mu     sync.Mutex
	active int // transfers
}

// add adds n to the number of active transfers and returns it.
func (l *sharedLink) add(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
	return l.active
}

// carry transfers a page that takes the time unshared when it has the link to itself.
func (l *sharedLink) carry(ctx context.Context, unshared time.Duration) error {
	const tick = 10 * time.Millisecond
	defer l.add(-1)
	l.add(1)
	for left := unshared; left > 0; {
		if _, err := waitFor(ctx, tick); err != nil {
			return err
		}
		left -= tick / time.Duration(l.add(0))
	}
	return nil
}

// An entry VM reads the whole list over a congested link: six pages take 0.7 s each, 4.2 s
// in total. Each page takes longer than the half second after which another request is
// sent. Guards against an unbounded number of requests: their responses shared the link,
// each page took longer still, no list ever arrived whole, and callers got 503 for as long
// as the link was congested.
func TestListOverACongestedLinkArrivesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, page = 6, 700 * time.Millisecond
		g := gomega.NewWithT(t)
		link := &sharedLink{}
		began := time.Now()
		var firstAfter atomic.Int64
		var open, most, reads atomic.Int32
		loop := &Loop{LongPoll: time.Second, Next: waitFor, Read: func(ctx context.Context) (Update, error) {
			reads.Add(1)
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			for range pages {
				if _, err := waitFor(ctx, 20*time.Millisecond); err != nil {
					return nil, err
				}
				httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
				if err := link.carry(ctx, page); err != nil {
					return nil, err
				}
			}
			return func() { firstAfter.CompareAndSwap(0, int64(time.Since(began))) }, nil
		}}
		run(t, loop, 30*time.Second)
		t.Logf("first whole list after %v, lists requested %d, open at a time %d", time.Duration(firstAfter.Load()), reads.Load(), most.Load())
		g.Expect(firstAfter.Load()).NotTo(gomega.BeZero(), "no list arrived whole in 30 s")
		g.Expect(time.Duration(firstAfter.Load())).To(gomega.BeNumerically("<", 10*time.Second))
	})
}

// The store takes 0.8 s for each of forty pages of a list. Each page extends the lifetime
// of its request. Guards against concurrent requests that do not end: 38 were open at a
// time.
func TestRequestsWithSlowResponsesDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var open, most atomic.Int32
		loop := &Loop{LongPoll: time.Second, Next: waitFor, Read: func(ctx context.Context) (Update, error) {
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			for range 40 {
				if _, err := waitFor(ctx, 800*time.Millisecond); err != nil {
					return nil, err
				}
				httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			}
			return func() {}, nil
		}}
		run(t, loop, 40*time.Second)
		g.Expect(most.Load()).To(gomega.BeNumerically("<=", maxOpenRequests+1), "a cancelled request may end while the next one starts")
	})
}
