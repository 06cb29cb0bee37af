package exchange

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pearyard/pearyard/directory"
	"github.com/pearyard/pearyard/site"
)

// waiter is a call that waits for a place.
type waiter struct {
	urgency   site.Urgency
	deadline  time.Time
	latest    time.Time     // until when it may wait
	objective time.Duration // of its route
	ready     chan error    // gets nil when the call goes, or why it is refused; holds one
}

// before reports whether a call gets a place before another: by urgency, then by deadline.
func (w *waiter) before(other *waiter) bool {
	return cmp.Or(w.urgency.Compare(other.urgency), w.deadline.Compare(other.deadline)) < 0
}

// waitingRoom holds the calls of one service that wait for a place at its servers. While none
// waits, a call takes no lock.
type waitingRoom struct {
	e       *Exchange
	service string
	waiting atomic.Int64

	mu       sync.Mutex
	waiters  []*waiter // the next one first
	released int       // places that calls of this process have left since the last tick
	timer    *time.Timer
	freed    freedPlaces
}

func (e *Exchange) waitingRoom(service string) *waitingRoom {
	if r, ok := e.rooms.Load(service); ok {
		return r.(*waitingRoom)
	}
	r, _ := e.rooms.LoadOrStore(service, &waitingRoom{e: e, service: service})
	return r.(*waitingRoom)
}

// join adds a call. It returns false if too many wait.
func (r *waitingRoom) join(w *waiter, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiters) >= maxWaitingCalls {
		return false
	}
	if len(r.waiters) == 0 {
		r.freed = freedPlaces{since: now}
	}
	i, _ := slices.BinarySearchFunc(r.waiters, w, func(a, b *waiter) int {
		if b.before(a) {
			return 1
		}
		return -1
	})
	r.waiters = slices.Insert(r.waiters, i, w)
	r.count(1)
	if r.timer == nil {
		r.timer = time.AfterFunc(placeCheckInterval, r.tick)
	}
	return true
}

// count changes the number of calls that wait; mu must be held.
func (r *waitingRoom) count(n int) {
	r.waiting.Add(int64(n))
	r.e.opts.Directory.AddWaiting(r.service, n)
	r.e.metrics.placeWaiting.Add(float64(n))
}

// await returns when the wait of a call is over.
func (r *waitingRoom) await(ctx context.Context, w *waiter) error {
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
		r.leave(w)
		return errWaitEnded
	}
}

// leave removes a call whose request has ended. It may have been removed already.
func (r *waitingRoom) leave(w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.waiters, w); i >= 0 {
		r.waiters = slices.Delete(r.waiters, i, i+1)
		r.count(-1)
	}
}

// release says that a call has left its place.
func (r *waitingRoom) release() {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.freed.add(now)
	r.released++
	r.look(now, false)
}

// tick looks for places as long as calls wait.
func (r *waitingRoom) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.look(time.Now(), true)
	r.released = 0
	if len(r.waiters) == 0 {
		r.timer = nil
		return
	}
	r.timer.Reset(placeCheckInterval)
}

// look sends the calls for which there is a place: with others set, also places that calls of
// other processes have left. It ends the wait of those that have waited for as long as they
// may.
func (r *waitingRoom) look(now time.Time, others bool) {
	if r.e.opts.Directory.Stopping() {
		r.endAll(ErrStopWaiting)
		return
	}
	places := r.e.opts.Directory.Places(directory.Query{Service: r.service}, now)
	if places.Servers == 0 {
		r.endAll(nil) // there is nothing to wait for; the choice of a server says why
		return
	}
	demand := placeDemand{free: places.Free, released: r.released, waiting: len(r.waiters), peersWaiting: places.PeersWaiting}
	if !others {
		demand.free = min(demand.free, r.released)
	}
	going := demand.going(rand.Float64)
	r.released = max(0, r.released-going)
	for range going {
		r.end(0, nil)
	}
	places.Ahead += going
	r.endLate(places, now)
}

func (r *waitingRoom) endAll(err error) {
	for len(r.waiters) > 0 {
		r.end(0, err)
	}
}

// endLate ends the wait of the calls that have waited for as long as they may.
func (r *waitingRoom) endLate(places directory.Places, now time.Time) {
	inTime := 0
	for _, w := range r.waiters {
		if now.Before(w.latest) {
			inTime++
		}
	}
	for i := 0; i < len(r.waiters); {
		w := r.waiters[i]
		switch {
		case now.Before(w.latest):
			i++
		case lateCall{places: places, inTime: inTime, left: w.deadline.Sub(now), objective: w.objective}.maySend():
			places.Ahead++
			r.end(i, nil)
		default:
			r.end(i, ErrPlacesTaken)
		}
	}
}

// end ends the wait of a call.
func (r *waitingRoom) end(i int, err error) {
	r.waiters[i].ready <- err
	r.waiters = slices.Delete(r.waiters, i, i+1)
	r.count(-1)
}

// expectedWait returns after which time the calls that wait here have been served; 0: not
// known.
func (r *waitingRoom) expectedWait(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond := r.freed.perSecond(now)
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(len(r.waiters)+1) / perSecond * float64(time.Second))
}

// freedPlaces counts the places that calls of this process have left while others wait.
type freedPlaces struct {
	since time.Time
	count float64
}

// freedWindow is the age at which half of what has been counted is forgotten.
const freedWindow = time.Second

func (f *freedPlaces) add(now time.Time) {
	f.count++
	if age := now.Sub(f.since); age > freedWindow {
		f.since, f.count = f.since.Add(age/2), f.count/2
	}
}

// perSecond returns the rate at which places become free.
func (f *freedPlaces) perSecond(now time.Time) float64 {
	age := now.Sub(f.since)
	if age <= 0 {
		return 0
	}
	return f.count / age.Seconds()
}
