package directory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// refreshTimeout bounds a read of Refresh: several times that of a store that is well.
const refreshTimeout = 250 * time.Millisecond

// errNoList is returned by Refresh before the first list.
var errNoList = errors.New("directory: there is no list yet")

// refreshes are the reads that callers of Refresh wait for.
type refreshes struct {
	mu      sync.Mutex
	running bool
	next    *refresh // not sent yet; nil: none
}

// refresh is one read.
type refresh struct {
	done chan struct{} // closed at its end
	err  error
}

// Refresh reads the list by a request that is sent after the call, and puts it in force: all
// servers that were listed at the call have then been seen, however long this process or the
// answer was held up on the way. Calls that wait at the same time share a request.
func (f *Follower) Refresh(ctx context.Context) error {
	r := f.refreshes.join(f.refresh)
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the next read that is not sent yet.
func (q *refreshes) join(read func() error) *refresh {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = &refresh{done: make(chan struct{})}
	}
	if !q.running {
		q.running = true
		go q.run(read)
	}
	return q.next
}

// run reads until nobody waits.
func (q *refreshes) run(read func() error) {
	for {
		r := q.take()
		if r == nil {
			return
		}
		r.err = read()
		close(r.done)
	}
}

func (q *refreshes) take() *refresh {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.next
	q.next, q.running = nil, r != nil
	return r
}

func (f *Follower) refresh() error {
	if f.loop.Load() == nil || f.Directory.View().Position == 0 {
		return errNoList
	}
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	update, err := f.changes(ctx, 0)
	if err == nil {
		update()
	}
	return err
}
