package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log/level"
	"github.com/onsi/gomega"
)

// blockingWriter blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	called  atomic.Int64 // number of calls of Write
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.called.Add(1)
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func (w *blockingWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.String()
}

// Guards against a process that blocks or grows without bound because nobody reads its
// log. Requests go on at full speed, info lines are dropped before errors, and when the
// log is read again it tells how many lines are missing.
func TestQueueNeverWaitsForItsReader(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blockingWriter{unblock: make(chan struct{})}
	const size = 100
	q := NewQueue(out, size)
	// The goroutine of the queue takes its first batch whenever it is scheduled. The queue
	// length is checked only when that goroutine blocks in Write and takes no more lines.
	_ = level.Info(q).Log("info", "first")
	g.Eventually(out.called.Load).Should(gomega.BeEquivalentTo(1))
	began := time.Now()
	for i := range 1000 {
		_ = level.Info(q).Log("info", i)
	}
	for i := range 1000 {
		_ = level.Error(q).Log("failure", i)
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", time.Second))
	g.Expect(len(q.lines)).To(gomega.Equal(size))
	g.Expect(q.Dropped()).To(gomega.BeEquivalentTo(2000 - size))
	close(out.unblock)
	g.Eventually(func() int { return len(q.lines) }).Should(gomega.BeZero())
	_ = level.Info(q).Log("info", "after")
	q.Close()
	text := out.text()
	g.Expect(strings.Count(text, "failure=")).To(gomega.Equal(size / 2))
	g.Expect(text).To(gomega.MatchRegexp(`failure=0 dropped_info=950`), "the next accepted line carries the number")
	g.Expect(text).To(gomega.MatchRegexp(`info=after dropped_error=950`))
}

// Accepted lines are written in order.
func TestQueueKeepsTheOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &blockingWriter{unblock: make(chan struct{})}
	close(out.unblock)
	q := NewQueue(out, 1000)
	var want strings.Builder
	for i := range 300 {
		_ = q.Log("n", i)
		fmt.Fprintf(&want, "n=%d\n", i)
	}
	q.Close()
	g.Expect(out.text()).To(gomega.Equal(want.String()))
}
