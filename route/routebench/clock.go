package routebench

import (
	"container/heap"
	"time"
)

// clock is virtual time: a heap of things to do, each at its instant.
type clock struct {
	now    time.Duration // since the beginning of the run
	serial int
	tasks  taskHeap
}

// epoch is the wall-clock time at which runs begin.
var epoch = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.tasks, task{at: c.now + d, serial: c.serial, do: do})
}

// every runs do each period, for as long as the run goes on.
func (c *clock) every(period time.Duration, do func()) {
	c.after(period, func() {
		do()
		c.every(period, do)
	})
}

func (c *clock) run(until time.Duration) {
	for len(c.tasks) > 0 && c.tasks[0].at <= until {
		next, _ := heap.Pop(&c.tasks).(task)
		c.now = next.at
		next.do()
	}
}

type task struct {
	at     time.Duration
	serial int // keeps tasks of one instant in the order in which they were set
	do     func()
}

type taskHeap []task

func (h taskHeap) Len() int      { return len(h) }
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h taskHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { t, _ := x.(task); *h = append(*h, t) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
