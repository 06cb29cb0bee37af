package retry

import (
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
