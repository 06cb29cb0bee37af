package event

import (
	"bytes"
	"io"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// DefaultQueueLines is the maximum number of log lines that wait for the output. At
	// 300 bytes per line that is 600 KB.
	DefaultQueueLines = 2048
	// Fractions of the queue up to which lines of a level are accepted: info lines are
	// dropped first, then warnings, and errors last.
	infoFill, warnFill = 0.5, 0.8
	// batchBytes is the size at which a batch of lines is written even if more are queued.
	batchBytes = 32 << 10
	// flushTimeout bounds the wait for the output when the process ends.
	flushTimeout = 200 * time.Millisecond
)

// Queue is a logger that never waits for its output. Without it, an output that nobody
// reads would block the process at its next log line. While the queue is full, lines are
// dropped, and the next accepted line carries the number of dropped lines.
type Queue struct {
	lines   chan []byte
	out     io.Writer
	dropped [3]atomic.Int64 // lines dropped since the last accepted one, by severity
	total   atomic.Int64    // all lines dropped so far
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a logger that formats log lines as logfmt, queues at most the given
// number of them and writes them to out in its own goroutine.
func NewQueue(out io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Log implements log.Logger. It never blocks and never fails.
func (q *Queue) Log(keyvals ...any) error {
	severity := severityOf(keyvals)
	if q.isFull(severity) {
		q.dropped[severity].Add(1)
		q.total.Add(1)
		return nil
	}
	var line bytes.Buffer
	_ = log.NewLogfmtLogger(&line).Log(append(keyvals, q.takeDropped()...)...)
	select {
	case q.lines <- line.Bytes():
	default:
		q.dropped[severity].Add(1)
		q.total.Add(1)
	}
	return nil
}

// Dropped returns how many lines have been dropped so far.
func (q *Queue) Dropped() int64 { return q.total.Load() }

// isFull reports whether lines of a severity are dropped at the current queue length.
func (q *Queue) isFull(severity int) bool {
	queued := float64(len(q.lines))
	size := float64(cap(q.lines))
	switch severity {
	case 0:
		return queued >= infoFill*size
	case 1:
		return queued >= warnFill*size
	default:
		return queued >= size
	}
}

// takeDropped returns the log fields with the numbers of lines dropped since the last
// line, and resets the numbers.
func (q *Queue) takeDropped() []any {
	var fields []any
	for severity, name := range [...]string{"dropped_info", "dropped_warn", "dropped_error"} {
		if q.dropped[severity].Load() == 0 {
			continue
		}
		fields = append(fields, name, q.dropped[severity].Swap(0))
	}
	return fields
}

// severityOf returns the severity of a line by its level: 2 for error, 1 for warn, 0 for
// any other or none.
func severityOf(keyvals []any) int {
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
			q.drain(&batch)
			return
		}
		for len(q.lines) > 0 && batch.Len() < batchBytes {
			batch.Write(<-q.lines)
		}
		q.write(&batch)
	}
}

func (q *Queue) drain(batch *bytes.Buffer) {
	for len(q.lines) > 0 {
		batch.Write(<-q.lines)
	}
	q.write(batch)
}

// write counts the lines of a failed write as dropped, as there is no other place to log
// the error.
func (q *Queue) write(batch *bytes.Buffer) {
	if _, err := q.out.Write(batch.Bytes()); err != nil {
		q.total.Add(int64(bytes.Count(batch.Bytes(), []byte("\n"))))
	}
	batch.Reset()
}

// SurviveClosedOutput keeps the process running when the reader of its standard output or
// error is gone. By default a write to such a pipe ends a Go program with SIGPIPE.
func SurviveClosedOutput() { signal.Ignore(syscall.SIGPIPE) }

// Close writes the queued lines, waiting at most flushTimeout for the output.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.closing) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}
