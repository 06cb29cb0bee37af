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

// stuckWriter blocks until it is opened.
type stuckWriter struct {
	open   chan struct{}
	called atomic.Int64 // writes begun
	mu     sync.Mutex
	got    bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	w.called.Add(1)
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func (w *stuckWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.String()
}

// Nobody reads the log. Requests must go on at full speed, memory must not
// grow, ordinary lines go first and those of failures last; once somebody reads
// again, the log says how many lines are missing.
func TestQueueNeverWaitsForItsReader(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &stuckWriter{open: make(chan struct{})}
	const size = 100
	q := NewQueue(out, size)
	// The queue's own goroutine takes its first batch whenever it is scheduled.
	// What waits is counted once it hangs in the output and takes no other.
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
	close(out.open)
	g.Eventually(func() int { return len(q.lines) }).Should(gomega.BeZero())
	_ = level.Info(q).Log("info", "after")
	q.Close()
	text := out.text()
	g.Expect(strings.Count(text, "failure=")).To(gomega.Equal(size / 2))
	g.Expect(text).To(gomega.MatchRegexp(`failure=0 dropped_info=950`), "the next line that is taken tells")
	g.Expect(text).To(gomega.MatchRegexp(`info=after dropped_error=950`))
}

// A line that was taken is written, in order.
func TestQueueKeepsTheOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &stuckWriter{open: make(chan struct{})}
	close(out.open)
	q := NewQueue(out, 1000)
	var want strings.Builder
	for i := range 300 {
		_ = q.Log("n", i)
		fmt.Fprintf(&want, "n=%d\n", i)
	}
	q.Close()
	g.Expect(out.text()).To(gomega.Equal(want.String()))
}
