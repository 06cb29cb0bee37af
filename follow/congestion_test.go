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

// sharedLink carries answers in pages; those on their way at a time share it evenly.
type sharedLink struct {
	mu     sync.Mutex
	active int
}

func (l *sharedLink) add(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
	return l.active
}

// carry takes alone for a page that has the link for itself.
func (l *sharedLink) carry(ctx context.Context, alone time.Duration) error {
	const tick = 10 * time.Millisecond
	defer l.add(-1)
	l.add(1)
	for left := alone; left > 0; {
		if _, err := waitOut(ctx, tick); err != nil {
			return err
		}
		left -= tick / time.Duration(l.add(0))
	}
	return nil
}

// An entry VM starts, or relists, on a link that is squeezed: a list of six pages
// takes 0.7 s a page, 4.2 s whole. Each page takes longer than the half second
// after which another question is put beside; without a bound on the questions
// the copies shared the link, each page took longer still, and no list ever came
// whole. Callers got 503 for as long as the squeeze lasted.
func TestListOverASqueezedLinkComesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, page = 6, 700 * time.Millisecond
		g := gomega.NewWithT(t)
		link := &sharedLink{}
		began := time.Now()
		var first atomic.Int64
		var open, most, reads atomic.Int32
		loop := &Loop{Wait: time.Second, Next: waitOut, Read: func(ctx context.Context) (Update, error) {
			reads.Add(1)
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			for range pages {
				if _, err := waitOut(ctx, 20*time.Millisecond); err != nil {
					return nil, err
				}
				httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
				if err := link.carry(ctx, page); err != nil {
					return nil, err
				}
			}
			return func() { first.CompareAndSwap(0, int64(time.Since(began))) }, nil
		}}
		run(t, loop, 30*time.Second)
		t.Logf("first whole list after %v, lists asked for %d, open at a time %d", time.Duration(first.Load()), reads.Load(), most.Load())
		g.Expect(first.Load()).NotTo(gomega.BeZero(), "no list came whole in 30 s")
		g.Expect(time.Duration(first.Load())).To(gomega.BeNumerically("<", 10*time.Second))
	})
}

// The store takes 0.8 s for each of forty pages of a list. Each page renews the
// life of its question, so that questions put beside each other did not end: 38
// were open at a time.
func TestQuestionsWhoseAnswersComeSlowlyDoNotPileUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		var open, most atomic.Int32
		loop := &Loop{Wait: time.Second, Next: waitOut, Read: func(ctx context.Context) (Update, error) {
			most.Store(max(most.Load(), open.Add(1)))
			defer open.Add(-1)
			for range 40 {
				if _, err := waitOut(ctx, 800*time.Millisecond); err != nil {
					return nil, err
				}
				httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			}
			return func() {}, nil
		}}
		run(t, loop, 40*time.Second)
		g.Expect(most.Load()).To(gomega.BeNumerically("<=", openQuestions+1), "one that is given up ends beside the next")
	})
}
