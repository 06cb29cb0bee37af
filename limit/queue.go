package limit

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/pearyard/pearyard/types"
)

// orgQueue is the queue of an organisation, by class.
type orgQueue struct {
	st        *state
	waiting   [classes]list.List
	heapIndex [classes]int // index in the heap of each class; -1: not in it
	load      float64      // slots per unit of weight if one more were granted, as of the last refresh
	priority  int
	weight    float64
	parked    bool // waits for a permit of the organisation, not for a slot
	size      int  // waiting tickets of all classes
}

// queuePosition is a ticket's position in its organisation's queue.
type queuePosition struct{ element *list.Element }

func newOrgQueue(st *state) *orgQueue { return &orgQueue{st: st, heapIndex: [classes]int{-1, -1, -1}} }

// refresh updates the values that the heaps order the queue by.
func (q *orgQueue) refresh(sh *share) {
	q.weight = sh.weight
	q.priority = sh.priority
	q.load = float64(q.st.inflight.Load()+1) / sh.weight
}

func (q *orgQueue) head(class Class) *Ticket { return q.waiting[class].Front().Value.(*Ticket) }

// queueHeap orders the queues of the organisations that wait for a slot in one
// class. The organisation that holds the fewest slots relative to its weight is
// first. Fairness is measured in slots held, not requests served, so that long
// generations count for as long as they run.
type queueHeap struct {
	class  Class
	queues []*orgQueue
}

func (h *queueHeap) Len() int { return len(h.queues) }

func (h *queueHeap) Less(i, j int) bool {
	a, b := h.queues[i], h.queues[j]
	if a.load != b.load {
		return a.load < b.load
	}
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.head(h.class).queued.Before(b.head(h.class).queued)
}

func (h *queueHeap) Swap(i, j int) {
	h.queues[i], h.queues[j] = h.queues[j], h.queues[i]
	h.queues[i].heapIndex[h.class] = i
	h.queues[j].heapIndex[h.class] = j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	q := x.(*orgQueue)
	q.heapIndex[h.class] = len(h.queues)
	h.queues = append(h.queues, q)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	last := len(h.queues) - 1
	q := h.queues[last]
	h.queues[last] = nil
	h.queues = h.queues[:last]
	q.heapIndex[h.class] = -1
	return q
}

// enqueue adds a ticket to its organisation's queue, or refuses it.
func (l *Limiter) enqueue(t *Ticket, sh *share, now, deadline time.Time) *types.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A concurrent tryAdmit that failed to get a slot may have held a permit for a
	// moment, in which the queue was parked. Unpark it if a permit is free now.
	l.updateHeaps(t.st)
	if int(t.st.waiting.Load()) >= sh.queued {
		return l.shed(t.st, sh, reasonQueue, now)
	}
	if !deadline.IsZero() && now.Add(l.expectedWait(t.st, sh)).After(deadline) {
		return l.shed(t.st, sh, reasonDeadline, now)
	}
	t.queued = now
	t.ready = make(chan struct{})
	l.addWaiter(t, sh)
	l.dispatch()
	l.metrics.queued.WithLabelValues(t.class.String()).Inc()
	return nil
}

// addWaiter appends a ticket to its organisation's queue.
func (l *Limiter) addWaiter(t *Ticket, sh *share) {
	q := t.st.queue
	if q == nil {
		q = newOrgQueue(t.st)
		t.st.queue = q
	}
	if q.size == 0 {
		q.refresh(sh)
		l.waitingWeight += q.weight
	}
	t.position = &queuePosition{element: q.waiting[t.class].PushBack(t)}
	q.size++
	t.st.waiting.Add(1)
	if q.parked {
		return
	}
	l.slotWaiters.Add(1)
	l.reportPressure()
	if q.heapIndex[t.class] < 0 {
		heap.Push(&l.heaps[t.class], q)
	}
}

// removeWaiter removes a ticket from its organisation's queue.
func (l *Limiter) removeWaiter(t *Ticket) {
	q := t.st.queue
	q.waiting[t.class].Remove(t.position.element)
	t.position = nil
	q.size--
	t.st.waiting.Add(-1)
	if !q.parked {
		l.slotWaiters.Add(-1)
	}
	if q.heapIndex[t.class] >= 0 {
		if q.waiting[t.class].Len() == 0 {
			heap.Remove(&l.heaps[t.class], q.heapIndex[t.class])
		} else {
			heap.Fix(&l.heaps[t.class], q.heapIndex[t.class])
		}
	}
	if q.size == 0 {
		l.waitingWeight -= q.weight
		q.parked = false
		delete(l.parked, q)
	}
}

// abandon removes a waiting ticket from its queue. It reports whether it did; the
// ticket may have been granted already.
func (l *Limiter) abandon(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.position == nil {
		return false
	}
	l.removeWaiter(t)
	l.reportPressure()
	return true
}

// park removes the queue of an organisation that is at its own concurrency limit
// from the heaps. Its requests wait for the organisation's own requests to end,
// so they don't count as slot waiters and don't force others to take the lock.
func (l *Limiter) park(q *orgQueue) {
	q.parked = true
	q.st.lackedPermit.Store(true)
	l.parked[q] = struct{}{}
	l.slotWaiters.Add(-int64(q.size))
	for class := range classes {
		if q.heapIndex[class] >= 0 {
			heap.Remove(&l.heaps[class], q.heapIndex[class])
		}
	}
}

// updateHeaps updates the position of an organisation's queue in the heaps, and
// unparks it if the organisation is below its concurrency limit again.
func (l *Limiter) updateHeaps(st *state) {
	q := st.queue
	if q == nil || q.size == 0 {
		return
	}
	sh := l.shareOf(st, l.opts.Now())
	l.waitingWeight -= q.weight
	q.refresh(sh)
	l.waitingWeight += q.weight
	if q.parked && (sh.concurrent < 0 || int(st.inflight.Load()) < sh.concurrent) {
		q.parked = false
		delete(l.parked, q)
		l.slotWaiters.Add(int64(q.size))
	}
	if q.parked {
		return
	}
	for class := range classes {
		switch {
		case q.waiting[class].Len() == 0:
		case q.heapIndex[class] < 0:
			heap.Push(&l.heaps[class], q)
		default:
			heap.Fix(&l.heaps[class], q.heapIndex[class])
		}
	}
}

// dispatch grants free slots to waiting requests, as long as one fits.
func (l *Limiter) dispatch() {
	capacity := l.opts.Capacity()
	for {
		class, ok := l.nextClass(capacity)
		if !ok || !l.slots.acquire(class, capacity) {
			break
		}
		q := l.heaps[class].queues[0]
		if !q.st.acquirePermit(l.shareOf(q.st, l.opts.Now())) {
			l.slots.release(class)
			l.park(q)
			continue
		}
		l.grant(q.head(class))
	}
	l.reportPressure()
}

// grant admits a waiting ticket, for which the caller has acquired a slot and a
// permit.
func (l *Limiter) grant(t *Ticket) {
	l.removeWaiter(t)
	l.updateHeaps(t.st)
	l.admitted[t.class].Inc()
	l.metrics.wait.WithLabelValues(t.class.String()).Observe(l.opts.Now().Sub(t.queued).Seconds())
	close(t.ready)
}

// nextClass returns the class that receives the next free slot, and false if no
// waiting request fits. Plain calls go first because they hold a slot for
// milliseconds only. Long generations go before short ones while they hold less
// than longPriorityShare of the slots. Beyond that, the class with the least loaded
// organisation goes first, so that a flood of one organisation's short generations
// doesn't delay another's long ones.
func (l *Limiter) nextClass(capacity int) (Class, bool) {
	used := l.slots.counts()
	eligible := func(class Class) bool { return l.heaps[class].Len() > 0 && used.fits(class, capacity) }
	switch {
	case eligible(Plain):
		return Plain, true
	case eligible(Long) && (!eligible(Short) || used.of(Long) < fractionOf(capacity, longPriorityShare) || l.minLoad(Long) < l.minLoad(Short)):
		return Long, true
	default:
		return Short, eligible(Short)
	}
}

// minLoad returns the load of the first organisation that waits in a class.
func (l *Limiter) minLoad(class Class) float64 { return l.heaps[class].queues[0].load }

// reportPressure emits an event when requests start or stop waiting for slots.
func (l *Limiter) reportPressure() {
	underPressure := l.slotWaiters.Load() > 0
	if underPressure == l.underPressure {
		return
	}
	l.underPressure = underPressure
	kind := eventRelieved
	if underPressure {
		kind = eventPressure
	}
	l.opts.Recorder.Emit(kind, "capacity", l.opts.Capacity(), "used", l.slots.counts().total())
}
