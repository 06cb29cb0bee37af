package event

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// DefaultQueueLines is how many log lines wait at most for the output. At
	// 300 bytes a line that is 600 KB.
	DefaultQueueLines = 2048
	// Shares of the queue up to which lines of a level are taken: ordinary ones
	// are dropped first, those of failures last.
	infoShare, warnShare = 0.5, 0.8
	// batchBytes is how much is written at once.
	batchBytes = 32 << 10
	// flushTimeout bounds the wait for the output at the end of a process.
	flushTimeout = 200 * time.Millisecond
)

// Queue is a logger that never waits for its output. An output that nobody
// reads would otherwise stop the process at its next line. When the queue is
// full, lines are dropped and the next line that is taken tells how many.
type Queue struct {
	lines   chan []byte
	out     io.Writer
	dropped [3]atomic.Int64 // by level: info, warn, error
	total   atomic.Int64
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a logger in logfmt that writes to out from a goroutine of its own.
func NewQueue(out io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Log implements log.Logger. It never blocks and never fails.
func (q *Queue) Log(keyvals ...any) error {
	rank := rankOf(keyvals)
	if q.full(rank) {
		q.dropped[rank].Add(1)
		q.total.Add(1)
		return nil
	}
	var line bytes.Buffer
	_ = log.NewLogfmtLogger(&line).Log(append(keyvals, q.takeDropped()...)...)
	select {
	case q.lines <- line.Bytes():
	default:
		q.dropped[rank].Add(1)
		q.total.Add(1)
	}
	return nil
}

// Dropped returns how many lines have been dropped so far.
func (q *Queue) Dropped() int64 { return q.total.Load() }

func (q *Queue) full(rank int) bool {
	have := float64(len(q.lines))
	size := float64(cap(q.lines))
	switch rank {
	case 0:
		return have >= infoShare*size
	case 1:
		return have >= warnShare*size
	default:
		return have >= size
	}
}

// takeDropped returns the fields that tell of lines dropped since the last line.
func (q *Queue) takeDropped() []any {
	var fields []any
	for rank, name := range [...]string{"dropped_info", "dropped_warn", "dropped_error"} {
		if q.dropped[rank].Load() == 0 {
			continue
		}
		fields = append(fields, name, q.dropped[rank].Swap(0))
	}
	return fields
}

func rankOf(keyvals []any) int {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != level.Key() {
			continue
		}
		switch keyvals[i+1] {
		case level.WarnValue():
			return 1
		case level.ErrorValue():
			return 2
		}
	}
	return 0
}

func (q *Queue) run() {
	defer close(q.done)
	var batch bytes.Buffer
	for {
		select {
		case line := <-q.lines:
			batch.Write(line)
		case <-q.closing:
			q.rest(&batch)
			return
		}
		for len(q.lines) > 0 && batch.Len() < batchBytes {
			batch.Write(<-q.lines)
		}
		q.write(&batch)
	}
}

func (q *Queue) rest(batch *bytes.Buffer) {
	for len(q.lines) > 0 {
		batch.Write(<-q.lines)
	}
	q.write(batch)
}

// write has nobody to tell of a failing output: the log is what would tell.
func (q *Queue) write(batch *bytes.Buffer) {
	_, _ = q.out.Write(batch.Bytes())
	batch.Reset()
}

// Close writes what waits, for a bounded time.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
