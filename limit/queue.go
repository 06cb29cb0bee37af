package limit

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/pearyard/pearyard/types"
)

// line is the queue of one organisation, by class.
type line struct {
	st       *state
	waiting  [classes]list.List
	index    [classes]int // place in the heap of the class; -1: not in it
	key      float64      // slots held for each unit of weight, as the heaps know it
	priority int
	weight   float64
	parked   bool // held back by the organisation's own bound, not by want of slots
	size     int
}

// spot is a ticket's place in its line.
type spot struct{ element *list.Element }

func newLine(st *state) *line { return &line{st: st, index: [classes]int{-1, -1, -1}} }

func (n *line) refresh(sh *share) {
	n.weight = sh.weight
	n.priority = sh.priority
	n.key = float64(n.st.inflight.Load()+1) / sh.weight
}

func (n *line) head(class Class) *Ticket { return n.waiting[class].Front().Value.(*Ticket) }

// lineHeap orders the organisations that wait in one class: first the one that
// holds the fewest slots for its weight. Slots held, not requests served, are
// what is shared: one that sends long generations pays for their length.
type lineHeap struct {
	class Class
	lines []*line
}

func (h *lineHeap) Len() int { return len(h.lines) }

func (h *lineHeap) Less(i, j int) bool {
	a, b := h.lines[i], h.lines[j]
	if a.key != b.key {
		return a.key < b.key
	}
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.head(h.class).queued.Before(b.head(h.class).queued)
}

func (h *lineHeap) Swap(i, j int) {
	h.lines[i], h.lines[j] = h.lines[j], h.lines[i]
	h.lines[i].index[h.class] = i
	h.lines[j].index[h.class] = j
}

// Push implements heap.Interface.
func (h *lineHeap) Push(x any) {
	n := x.(*line)
	n.index[h.class] = len(h.lines)
	h.lines = append(h.lines, n)
}

// Pop implements heap.Interface.
func (h *lineHeap) Pop() any {
	last := len(h.lines) - 1
	n := h.lines[last]
	h.lines[last] = nil
	h.lines = h.lines[:last]
	n.index[h.class] = -1
	return n
}

// enqueue puts a ticket in its organisation's queue, or refuses it.
func (l *Limiter) enqueue(t *Ticket, sh *share, now, deadline time.Time) *types.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requeue(t.st) // a fast path that failed may have hidden a free place
	if int(t.st.waiting.Load()) >= sh.queued {
		return l.shed(t.st, sh, reasonQueue, now)
	}
	if !deadline.IsZero() && now.Add(l.expectedWait(t.st, sh)).After(deadline) {
		return l.shed(t.st, sh, reasonDeadline, now)
	}
	t.queued = now
	t.ready = make(chan struct{})
	l.push(t, sh)
	l.dispatch()
	l.metrics.queued.WithLabelValues(t.class.String()).Inc()
	return nil
}

func (l *Limiter) push(t *Ticket, sh *share) {
	n := t.st.line
	if n == nil {
		n = newLine(t.st)
		t.st.line = n
	}
	if n.size == 0 {
		n.refresh(sh)
		l.waitingWeight += n.weight
	}
	t.spot = &spot{element: n.waiting[t.class].PushBack(t)}
	n.size++
	t.st.waiting.Add(1)
	if n.parked {
		return
	}
	l.pressure.Add(1)
	l.notePressure()
	if n.index[t.class] < 0 {
		heap.Push(&l.heaps[t.class], n)
	}
}

// drop takes a ticket out of its line.
func (l *Limiter) drop(t *Ticket) {
	n := t.st.line
	n.waiting[t.class].Remove(t.spot.element)
	t.spot = nil
	n.size--
	t.st.waiting.Add(-1)
	if !n.parked {
		l.pressure.Add(-1)
	}
	if n.index[t.class] >= 0 {
		if n.waiting[t.class].Len() == 0 {
			heap.Remove(&l.heaps[t.class], n.index[t.class])
		} else {
			heap.Fix(&l.heaps[t.class], n.index[t.class])
		}
	}
	if n.size == 0 {
		l.waitingWeight -= n.weight
		n.parked = false
		delete(l.parked, n)
	}
}

// giveUp takes a ticket that still waits out of its queue; false if it was granted.
func (l *Limiter) giveUp(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.spot == nil {
		return false
	}
	l.drop(t)
	l.notePressure()
	return true
}

// park takes an organisation at its own bound out of the heaps: its requests
// wait for its own, and are no reason for others to take the lock.
func (l *Limiter) park(n *line) {
	n.parked = true
	n.st.pressed.Store(true)
	l.parked[n] = struct{}{}
	l.pressure.Add(-int64(n.size))
	for class := range classes {
		if n.index[class] >= 0 {
			heap.Remove(&l.heaps[class], n.index[class])
		}
	}
}

// requeue brings an organisation's place in the heaps up to date.
func (l *Limiter) requeue(st *state) {
	n := st.line
	if n == nil || n.size == 0 {
		return
	}
	sh := l.shareOf(st, l.opts.Now())
	l.waitingWeight -= n.weight
	n.refresh(sh)
	l.waitingWeight += n.weight
	if n.parked && (sh.concurrent < 0 || int(st.inflight.Load()) < sh.concurrent) {
		n.parked = false
		delete(l.parked, n)
		l.pressure.Add(int64(n.size))
	}
	if n.parked {
		return
	}
	for class := range classes {
		switch {
		case n.waiting[class].Len() == 0:
		case n.index[class] < 0:
			heap.Push(&l.heaps[class], n)
		default:
			heap.Fix(&l.heaps[class], n.index[class])
		}
	}
}

// dispatch grants free slots to waiting requests until nothing fits.
func (l *Limiter) dispatch() {
	capacity := l.opts.Capacity()
	for {
		class, ok := l.next(capacity)
		if !ok || !l.slots.take(class, capacity) {
			break
		}
		n := l.heaps[class].lines[0]
		if !n.st.enter(l.shareOf(n.st, l.opts.Now())) {
			l.slots.put(class)
			l.park(n)
			continue
		}
		l.grant(n.head(class))
	}
	l.notePressure()
}

func (l *Limiter) grant(t *Ticket) {
	l.drop(t)
	l.requeue(t.st)
	l.admitted[t.class].Inc()
	l.metrics.wait.WithLabelValues(t.class.String()).Observe(l.opts.Now().Sub(t.queued).Seconds())
	close(t.ready)
}

// next picks the class that the next free slot goes to. Plain calls go first:
// they hold a slot for milliseconds. Between generations the organisation that
// holds less decides, not the class: a flood of one organisation's short ones
// must not keep another's long one waiting.
func (l *Limiter) next(capacity int) (Class, bool) {
	now := l.slots.counts()
	may := func(class Class) bool { return l.heaps[class].Len() > 0 && now.fits(class, capacity) }
	switch {
	case may(Plain):
		return Plain, true
	case may(Long) && (!may(Short) || now.of(Long) < part(capacity, longFloor) || l.key(Long) < l.key(Short)):
		return Long, true
	default:
		return Short, may(Short)
	}
}

// key is how much the first organisation that waits in a class holds.
func (l *Limiter) key(class Class) float64 { return l.heaps[class].lines[0].key }

func (l *Limiter) notePressure() {
	pressed := l.pressure.Load() > 0
	if pressed == l.pressed {
		return
	}
	l.pressed = pressed
	kind := eventRelieved
	if pressed {
		kind = eventPressure
	}
	l.opts.Recorder.Emit(kind, "capacity", l.opts.Capacity(), "used", l.slots.counts().total())
}
