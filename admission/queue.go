package admission

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// keptShare of the starts is kept for the less urgent classes together while they can't
	// start otherwise, in equal parts.
	//
	// Priority that grows with the time waited would not do: streams that are expected to
	// begin late are refused at once, so that they never grow old.
	keptShare = 0.2
	// gateMemory is for how long a class that could not start is assumed to be unable to. Streams
	// that wait look more often than that. It must not bridge the time between two streams at
	// a process that gets few: a class that was looked at seldom may have been able to start
	// meanwhile, and each of its streams would be refused without a wait.
	gateMemory = 500 * time.Millisecond
	// rateWindow is the time constant with which starts from the queue are forgotten.
	rateWindow = 5 * time.Second
	// minStarts is from how many starts on their mean interval is known. Servers that took
	// their prompts together finish them together, so that few starts say nothing.
	minStarts = 3
)

// Queue holds the streams of one service that wait at this process to be sent to a backend
// server. The zero value is ready to use.
type Queue struct {
	mu        sync.Mutex
	waiting   []*Ticket // in the order in which they start
	classes   []class   // by rank
	busySince time.Time // when the queue was last empty
	starts    float64   // of streams that had waited, as of startedAt, weighted down by age
	startedAt time.Time
}

// class is what is known of the streams of one rank.
type class struct {
	closedAt time.Time // since when none could start; zero: they can
	seenAt   time.Time // when that was last seen
	kept     float64   // starts that are kept for it
}

// Ticket is the place of a stream in a Queue.
type Ticket struct {
	queue  *Queue
	offer  Offer
	turn   chan struct{}
	waited bool // it has been told to wait
	// Of its last look: a server had memory for it, and it could start by its kept share. Until
	// then both are assumed.
	hadRoom, keptOpens bool
}

// Enter adds a stream.
func (q *Queue) Enter(o Offer, now time.Time) *Ticket {
	t := &Ticket{queue: q, offer: o, turn: make(chan struct{}, 1), hadRoom: true, keptOpens: true}
	q.mu.Lock()
	defer q.mu.Unlock()
	if missing := o.Ranks - len(q.classes); missing > 0 {
		q.classes = append(q.classes, make([]class, missing)...)
	}
	if len(q.waiting) == 0 {
		q.busySince, q.startedAt, q.starts = now, now, 0
	}
	at, _ := slices.BinarySearchFunc(q.waiting, t, func(other, t *Ticket) int {
		if other.offer.compare(t.offer) <= 0 {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, t)
	return t
}

// compare returns a negative number if o starts before another stream.
func (o Offer) compare(other Offer) int {
	return cmp.Or(cmp.Compare(o.Rank, other.Rank), cmp.Compare(o.precedence(), other.precedence()), o.Arrived.Compare(other.Arrived))
}

// precedence orders streams of the same rank: those go first that were turned away before.
func (o Offer) precedence() int {
	if o.Retried || o.Returns {
		return 0
	}
	return 1
}

// Turn returns a channel that receives when the stream has become the next one to start.
func (t *Ticket) Turn() <-chan struct{} { return t.turn }

// IsNext reports whether no other stream starts before this one.
func (t *Ticket) IsNext() bool {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	return t.queue.ahead(t) == 0
}

// Decide says whether the stream starts now, waits on or is refused. If it starts or is
// refused, its ticket leaves the queue.
func (t *Ticket) Decide(l Outlook, now time.Time) (Decision, Outlook) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(t.offer, l, now)
	t.hadRoom, t.keptOpens = l.Room, l.opens(t.offer.keptLimit())
	l.Ahead, l.Kept, l.Waits = q.ahead(t), q.nextKept() == t, t.waited
	l.Closed, l.Interval = q.closedFor(t.offer.Rank, now), q.meanInterval(now)
	if l.Kept || t.offer.Bound {
		l.Closed = 0 // what holds up its class doesn't hold up the stream
	}
	d := Decide(t.offer, l, now)
	switch d.Verdict {
	case Start:
		q.countStart(t, l.Kept, now)
		q.remove(t)
	case Refuse:
		q.remove(t)
	case Wait:
		t.waited = true
	}
	return d, l
}

// Leave removes the stream from the queue, if it is still there.
func (t *Ticket) Leave() {
	t.queue.mu.Lock()
	defer t.queue.mu.Unlock()
	t.queue.remove(t)
}

// Waiting returns how many streams wait, by rank.
func (q *Queue) Waiting() []int {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := make([]int, len(q.classes))
	for _, t := range q.waiting {
		counts[t.offer.Rank]++
	}
	return counts
}

func (q *Queue) remove(t *Ticket) {
	at := slices.Index(q.waiting, t)
	if at < 0 {
		return
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	for _, next := range q.waiting {
		if q.ahead(next) > 0 {
			continue
		}
		select {
		case next.turn <- struct{}{}:
		default:
		}
		if !next.holdsUpNobody() {
			return
		}
	}
}

// holdsUpNobody reports whether streams behind this one need not wait for it: only some of the
// servers may run it, or none had memory for it, which smaller ones may find.
func (t *Ticket) holdsUpNobody() bool { return t.offer.Bound || !t.hadRoom }

// nextKept returns the first stream that may start by the share that is kept for its class;
// nil: there is none.
func (q *Queue) nextKept() *Ticket {
	for _, t := range q.waiting {
		if t.offer.Rank > 0 && q.classes[t.offer.Rank].kept >= 1 && t.keptOpens && !t.holdsUpNobody() {
			return t
		}
	}
	return nil
}

// ahead returns how many streams start before t.
func (q *Queue) ahead(t *Ticket) int {
	kept := q.nextKept()
	if kept == t {
		return 0
	}
	n := 0
	if kept != nil && kept.offer.compare(t.offer) > 0 {
		n++
	}
	for _, other := range q.waiting {
		if other == t {
			break
		}
		if !other.holdsUpNobody() {
			n++
		}
	}
	return n
}

// observe records whether streams of an offer's class can start. If they can, so can more
// urgent ones, and if they can't, neither can less urgent ones.
func (q *Queue) observe(o Offer, l Outlook, now time.Time) {
	if o.Bound {
		return
	}
	if l.opens(o.limit(l)) {
		for i := range q.classes[:o.Rank+1] {
			q.classes[i].closedAt = time.Time{}
		}
		return
	}
	for i := o.Rank; i < len(q.classes); i++ {
		c := &q.classes[i]
		if c.closedAt.IsZero() || now.Sub(c.seenAt) > gateMemory {
			c.closedAt = now
		}
		c.seenAt = now
	}
}

// closedFor returns for how long no stream of a rank could start.
func (q *Queue) closedFor(rank int, now time.Time) time.Duration {
	c := q.classes[rank]
	if c.closedAt.IsZero() || now.Sub(c.seenAt) > gateMemory {
		return 0
	}
	return now.Sub(c.closedAt)
}

// recentStarts returns how many streams have started after a wait, weighted down by age.
func (q *Queue) recentStarts(now time.Time) float64 {
	return q.starts * math.Exp(-float64(now.Sub(q.startedAt))/float64(rateWindow))
}

// meanInterval returns the time between two starts from the queue; 0: it isn't known.
func (q *Queue) meanInterval(now time.Time) time.Duration {
	starts := q.recentStarts(now)
	if starts < minStarts {
		return 0
	}
	busy := float64(rateWindow) * (1 - math.Exp(-float64(now.Sub(q.busySince))/float64(rateWindow)))
	return time.Duration(busy / starts)
}

// countStart records that a stream starts, and keeps a share for the classes that can't.
func (q *Queue) countStart(t *Ticket, byKeptShare bool, now time.Time) {
	if t.waited {
		q.starts, q.startedAt = q.recentStarts(now)+1, now
	}
	if byKeptShare {
		q.classes[t.offer.Rank].kept--
		return
	}
	for i := t.offer.Rank + 1; i < len(q.classes); i++ {
		if q.closedFor(i, now) > 0 {
			c := &q.classes[i]
			c.kept = min(1, c.kept+keptShare/float64(len(q.classes)-1))
		}
	}
}
