package routebench

import (
	"container/heap"
	"time"
)

// clock is virtual time: a heap of tasks ordered by time.
type clock struct {
	now    time.Duration // since the start of the run
	serial int
	tasks  taskHeap
}

// epoch is the wall-clock time at which runs start.
var epoch = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) after(d time.Duration, do func()) {
	c.serial++
	heap.Push(&c.tasks, task{at: c.now + d, serial: c.serial, do: do})
}

// every runs do once per period until the end of the run.
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
	serial int // preserves the scheduling order of tasks with the same time
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
