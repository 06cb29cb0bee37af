package limitbench

import (
	"container/heap"
	"time"
)

// clock runs actions in the order of their virtual time.
type clock struct {
	now   time.Time
	start time.Time
	seq   int
	queue actions
}

type action struct {
	at  time.Time
	seq int
	do  func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actions) Pop() any {
	last := len(*a) - 1
	out := (*a)[last]
	*a = (*a)[:last]
	return out
}

func newClock() *clock {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &clock{now: start, start: start}
}

// Now is the virtual time, for limiters.
func (c *clock) Now() time.Time { return c.now }

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, action{at: c.now.Add(d), seq: c.seq, do: do})
}

// every repeats do until the end.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

func (c *clock) runUntil(end time.Duration, each func()) {
	stop := c.start.Add(end)
	for len(c.queue) > 0 && c.queue[0].at.Before(stop) {
		next := heap.Pop(&c.queue).(action)
		c.now = next.at
		next.do()
		each()
	}
}
