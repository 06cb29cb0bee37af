package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Property: any interval of the window's length holds no more retries than the
// limit allows for the requests in it and up to one bucket before it.
func TestWindowHoldsInEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		fixed := rapid.Float64Range(0, 5).Draw(t, "fixed")
		now := time.Unix(0, 0)
		w := NewWindow(length, func() time.Time { return now })
		w.SetLimits(ratio, fixed)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest()
				requests = append(requests, now)
				continue
			}
			if w.Allow() {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-length)
			limit := ratio*float64(within(requests, from.Add(-length/windowBuckets), end)) + fixed
			if n := within(retries, from, end); float64(n) > limit+1e-9 {
				t.Fatalf("%d retries in the window that ends at %v, limit %.3f", n, end, limit)
			}
		}
	})
}

// within counts the times in the half-open interval (from, to].
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// A burst of requests allows a burst of retries, until the requests are older
// than the window.
func TestWindowDropsOldRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	w := NewWindow(10*time.Second, func() time.Time { return now })
	w.SetLimits(0.5, 1)
	for range 10 {
		w.RecordRequest()
	}
	for range 6 {
		g.Expect(w.Allow()).To(gomega.BeTrue())
	}
	g.Expect(w.Allow()).To(gomega.BeFalse())
	now = now.Add(time.Minute)
	g.Expect(w.Allow()).To(gomega.BeTrue())
	g.Expect(w.Allow()).To(gomega.BeFalse())
}

func BenchmarkWindow(b *testing.B) {
	w := NewWindow(10*time.Second, nil)
	w.SetLimits(DefaultRatio, 10)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w.RecordRequest()
			w.Allow()
		}
	})
}

// When a zone fails, all requests of a service are retried at the same moment.
// Concurrent calls of Allow must not exceed the limit, and retries that were
// refused only because of contention must be available to later callers.
func TestWindowHoldsUnderConcurrency(t *testing.T) {
	g := gomega.NewWithT(t)
	const fixed = 100
	for range 20 {
		now := time.Unix(0, 0)
		w := NewWindow(10*time.Second, func() time.Time { return now })
		w.SetLimits(0, fixed)
		var allowed atomic.Int64
		var callers sync.WaitGroup
		for range 16 {
			callers.Go(func() {
				for range 50 {
					if w.Allow() {
						allowed.Add(1)
					}
				}
			})
		}
		callers.Wait()
		g.Expect(allowed.Load()).To(gomega.BeNumerically("<=", fixed))
		for w.Allow() {
			allowed.Add(1)
		}
		g.Expect(allowed.Load()).To(gomega.Equal(int64(fixed)))
	}
}

// A request that was delayed updates a bucket whose place in the ring has been
// reused since. It must not clear the newer bucket: a late addition is counted
// there, a late removal is dropped.
func TestLateUpdateKeepsNewerBucket(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	w := NewWindow(10*time.Second, func() time.Time { return now })
	now = now.Add(25 * time.Second)
	w.RecordRequest()
	w.add(w.currentBucket()-windowBuckets-1, 1, 0)
	w.RecordRetry()
	w.add(w.currentBucket()-windowBuckets-1, 0, -1)
	requests, retries := w.Counts()
	g.Expect(requests).To(gomega.Equal(2.0))
	g.Expect(retries).To(gomega.Equal(1.0), "a late removal must not be subtracted from the newer bucket")
}
