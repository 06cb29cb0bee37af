package limitbench

import (
	"container/heap"
	"time"
)

// clock is a virtual clock. It runs scheduled actions in the order of their times.
type clock struct {
	now   time.Time
	start time.Time
	seq   int // number of actions scheduled so far
	queue actionHeap
}

type action struct {
	at  time.Time
	seq int // order among actions of the same time
	do  func()
}

// actionHeap is a heap of the scheduled actions.
type actionHeap []action

func (a actionHeap) Len() int { return len(a) }
func (a actionHeap) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a actionHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *actionHeap) Push(x any) { *a = append(*a, x.(action)) }

// Pop implements heap.Interface.
func (a *actionHeap) Pop() any {
	last := len(*a) - 1
	out := (*a)[last]
	*a = (*a)[:last]
	return out
}

func newClock() *clock {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &clock{now: start, start: start}
}

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// after schedules do to run once, d from now.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, action{at: c.now.Add(d), seq: c.seq, do: do})
}

// every schedules do to run repeatedly, at intervals of d.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// runUntil runs the scheduled actions up to the time end after the start, and calls
// each after every one.
func (c *clock) runUntil(end time.Duration, each func()) {
	stop := c.start.Add(end)
	for len(c.queue) > 0 && c.queue[0].at.Before(stop) {
		next := heap.Pop(&c.queue).(action)
		c.now = next.at
		next.do()
		each()
	}
}
