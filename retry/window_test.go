package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Whatever the order of first tries and retries, no span of the window's length
// holds more retries than the bound allows for the first tries in and shortly
// before it.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		extra := rapid.Float64Range(0, 5).Draw(t, "extra")
		now := time.Unix(0, 0)
		w := NewWindow(length, func() time.Time { return now })
		w.Bound(ratio, extra)
		var first, again []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.First()
				first = append(first, now)
				continue
			}
			if w.Allow() {
				again = append(again, now)
			}
		}
		for _, end := range again {
			from := end.Add(-length)
			limit := ratio*float64(within(first, from.Add(-length/windowSlots), end)) + extra
			if n := within(again, from, end); float64(n) > limit+1e-9 {
				t.Fatalf("%d retries in the span to %v, %v allowed", n, end, limit)
			}
		}
	})
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// A burst of first tries pays for a burst of retries, and old ones are forgotten.
func TestWindowForgets(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	w := NewWindow(10*time.Second, func() time.Time { return now })
	w.Bound(0.5, 1)
	for range 10 {
		w.First()
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
	w.Bound(DefaultRatio, 10)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			w.First()
			w.Allow()
		}
	})
}

// A zone fails and all requests of a service ask for a retry in the same moment.
// However they meet, no more are allowed than the bound; what a crowd left over
// is there for those that come after.
func TestWindowHoldsHoweverManyAskAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	const extra = 100
	for range 20 {
		now := time.Unix(0, 0)
		w := NewWindow(10*time.Second, func() time.Time { return now })
		w.Bound(0, extra)
		var allowed atomic.Int64
		var crowd sync.WaitGroup
		for range 16 {
			crowd.Go(func() {
				for range 50 {
					if w.Allow() {
						allowed.Add(1)
					}
				}
			})
		}
		crowd.Wait()
		g.Expect(allowed.Load()).To(gomega.BeNumerically("<=", extra))
		for w.Allow() {
			allowed.Add(1)
		}
		g.Expect(allowed.Load()).To(gomega.Equal(int64(extra)))
	}
}

// A request that was paused counts in a slot of which the place has been used
// again since: its count belongs to the newer one, and empties nothing.
func TestLateCountEmptiesNoSlot(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	w := NewWindow(10*time.Second, func() time.Time { return now })
	now = now.Add(25 * time.Second)
	w.First()
	w.count(w.current()-windowSlots-1, 1, 0)
	w.Take()
	w.count(w.current()-windowSlots-1, 0, -1)
	first, again := w.Counts()
	g.Expect(first).To(gomega.Equal(2.0))
	g.Expect(again).To(gomega.Equal(1.0), "nothing is taken back of a later turn")
}
