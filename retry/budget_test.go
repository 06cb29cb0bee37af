package retry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// fixed is how many retries a budget allows in its window without first tries.
const fixed = int(DefaultPerSecond * DefaultWindow / time.Second)

// A tenth of the runners dies under full load. The rest refuse what is too
// much; each router tries each refused request four times more, and callers
// see refusals long after the load alone would explain them: most of what is
// sent are retries.
func TestRetriesAreAShareOfFirstTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		events := event.Discard()
		b := NewBudget(BudgetOptions{Service: "pear-models", Recorder: events})
		const first = 10_000
		sent := 0
		for range first {
			b.First()
			for range 4 {
				if b.Allow() {
					sent++
				}
			}
		}
		g.Expect(sent).To(BeNumerically("<=", fixed+first/10))
		g.Expect(sent).To(BeNumerically(">=", first/10))
		g.Expect(events.Entries("")).To(HaveLen(1), "one event a second, not one for each refusal")
	})
}

func TestBudgetFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(BudgetOptions{})
		allowed := func() int {
			n := 0
			for b.Allow() {
				n++
			}
			return n
		}
		g.Expect(allowed()).To(Equal(fixed))
		time.Sleep(3 * time.Second)
		g.Expect(allowed()).To(BeZero(), "the span in which they were used isn't over")
		time.Sleep(DefaultWindow)
		g.Expect(allowed()).To(Equal(fixed), "a quiet service may still retry now and then")
		time.Sleep(time.Hour)
		g.Expect(allowed()).To(Equal(fixed), "nothing is saved up")
	})
}

// Property: in no span of the window's length are there more retries than the
// share of its first tries and the fixed number together.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		const window = 4 * time.Second
		ratio := rapid.Float64Range(0.01, 1).Draw(t, "ratio")
		perSecond := rapid.Float64Range(0.25, 12).Draw(t, "per second")
		b := NewBudget(BudgetOptions{Ratio: ratio, PerSecond: perSecond, Window: window, Now: func() time.Time { return now }})
		var first, retries []time.Time
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				b.First()
				first = append(first, now)
			case 1:
				if b.Allow() {
					retries = append(retries, now)
				}
			default:
				now = now.Add(300 * time.Millisecond)
			}
		}
		for _, end := range retries {
			from := end.Add(-window)
			limit := ratio*float64(within(first, from.Add(-window/windowSlots), end)) + perSecond*window.Seconds()
			if n := within(retries, from, end); float64(n) > limit+1e-6 {
				t.Fatalf("%d retries in the span to %v, limit %.3f", n, end, limit)
			}
		}
	})
}

func TestBudgetConcurrent(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := NewBudget(BudgetOptions{Now: func() time.Time { return now }})
	var retries atomic.Int64
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 1000 {
				b.First()
				if b.Allow() {
					retries.Add(1)
				}
			}
		})
	}
	wait.Wait()
	g.Expect(retries.Load()).To(BeNumerically("<=", fixed+800))
}

// A label is printed twice: the first try ran, its answer was lost, and the
// router took the unknown outcome for a refusal and sent the call again.
func TestOnlyProvedNotRunIsRetried(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Elsewhere(nil)).To(BeFalse())
	g.Expect(Elsewhere(types.NotRun(types.CodeOverloaded, 0, "full"))).To(BeTrue())
	g.Expect(Elsewhere(types.NotRun(types.CodeLeaving, 0, "leaving"))).To(BeTrue())
	g.Expect(Elsewhere(types.NotRun(types.CodeRateLimited, 0, "the same anywhere"))).To(BeFalse())
	g.Expect(Elsewhere(types.NotRun(types.CodeQuarantined, 0, "the same anywhere"))).To(BeFalse())
	g.Expect(Elsewhere(types.Invalid(http.StatusBadRequest, types.CodeBadRequest, "bad"))).To(BeFalse())
	for _, code := range []types.Code{types.CodeOverloaded, types.CodeLeaving, types.CodeUnknownOutcome} {
		g.Expect(Elsewhere(types.Unknown(code, 0, "may have run"))).To(BeFalse(), string(code))
	}
}

func TestNextKeepsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(BudgetOptions{PerSecond: 1, Window: time.Second})
		refusal := types.NotRun(types.CodeOverloaded, 0, "full")
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		_, ok := b.Next(short, refusal, 1, 2*time.Second)
		g.Expect(ok).To(BeFalse(), "a try that can't end in time")
		wait, ok := b.Next(short, refusal, 1, 100*time.Millisecond)
		g.Expect(ok).To(BeTrue(), "the refused one took nothing out of the budget")
		g.Expect(wait).To(BeNumerically("<=", BackoffBase))
		_, ok = b.Next(short, refusal, 2, 100*time.Millisecond)
		g.Expect(ok).To(BeFalse(), "the budget is spent")

		g.Expect(Wait(short, time.Minute)).To(MatchError(context.DeadlineExceeded))
		g.Expect(FitsDeadline(short, 0, 0)).To(BeFalse())
		g.Expect(FitsDeadline(t.Context(), time.Hour, time.Hour)).To(BeTrue())
	})
}

// All callers shed in one moment come back in one moment, are shed again, and
// so on: an overload of a second lasts for minutes.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	const callers = 200_000 // enough that chance moves a slice by 15% at the most
	const slice = 100 * time.Millisecond
	for _, load := range []float64{0, 1, 2, 4, 100} {
		window := retryWindow(load)
		slices := map[time.Duration]int{}
		least, most := RetryAfterMax, RetryAfterMin
		for range callers {
			d := RetryAfter(load)
			least, most = min(least, d), max(most, d)
			slices[d/slice]++
		}
		g.Expect(least).To(BeNumerically(">=", RetryAfterMin))
		g.Expect(most).To(BeNumerically("<=", RetryAfterMin+window))
		g.Expect(most).To(BeNumerically("<=", RetryAfterMax))
		top := 0
		for _, n := range slices {
			top = max(top, n)
		}
		even := float64(callers) * float64(slice) / float64(window)
		g.Expect(float64(top)).To(BeNumerically("<", 1.25*even), "load %v", load)
	}
	g.Expect(retryWindow(2)).To(Equal(4 * time.Second))
	g.Expect(retryWindow(100)).To(Equal(RetryAfterMax - RetryAfterMin))
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	g := NewWithT(t)
	for n := 1; n < 100; n++ {
		g.Expect(Backoff(n)).To(BeNumerically("<=", BackoffMax))
	}
	g.Expect(growing(BackoffBase, BackoffMax, 2)).To(Equal(4 * BackoffBase))
	g.Expect(growing(BackoffBase, BackoffMax, 1000)).To(Equal(BackoffMax))
}
