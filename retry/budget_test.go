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

// fixed is the number of retries that a default budget allows per window without
// any requests.
const fixed = int(DefaultPerSecond * DefaultWindow / time.Second)

// Guards against a retry storm: when a tenth of the backend servers fails under
// full load, the rest refuse the excess, and routers that retry each refused request
// four times keep the servers overloaded with retries long after the failure.
func TestRetriesAreAShareOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		events := event.Discard()
		b := NewBudget(BudgetOptions{Service: "pear-models", Recorder: events})
		const requests = 10_000
		retries := 0
		for range requests {
			b.RecordRequest()
			for range 4 {
				if b.Allow() {
					retries++
				}
			}
		}
		g.Expect(retries).To(BeNumerically("<=", fixed+requests/10))
		g.Expect(retries).To(BeNumerically(">=", requests/10))
		g.Expect(events.Entries("")).To(HaveLen(1), "one event per second, not one per refusal")
	})
}

func TestBudgetAllowsFixedRetriesWithoutRequests(t *testing.T) {
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
		g.Expect(allowed()).To(BeZero(), "the window in which they were used isn't over")
		time.Sleep(DefaultWindow)
		g.Expect(allowed()).To(Equal(fixed), "a service without requests keeps the fixed number of retries")
		time.Sleep(time.Hour)
		g.Expect(allowed()).To(Equal(fixed), "unused retries don't accumulate")
	})
}

// Property: any interval of the window's length holds at most ratio times its
// requests plus the fixed number of retries.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		const window = 4 * time.Second
		ratio := rapid.Float64Range(0.01, 1).Draw(t, "ratio")
		perSecond := rapid.Float64Range(0.25, 12).Draw(t, "per second")
		b := NewBudget(BudgetOptions{Ratio: ratio, PerSecond: perSecond, Window: window, Now: func() time.Time { return now }})
		var requests, retries []time.Time
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				b.RecordRequest()
				requests = append(requests, now)
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
			limit := ratio*float64(within(requests, from.Add(-window/windowBuckets), end)) + perSecond*window.Seconds()
			if n := within(retries, from, end); float64(n) > limit+1e-6 {
				t.Fatalf("%d retries in the window that ends at %v, limit %.3f", n, end, limit)
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
				b.RecordRequest()
				if b.Allow() {
					retries.Add(1)
				}
			}
		})
	}
	wait.Wait()
	g.Expect(retries.Load()).To(BeNumerically("<=", fixed+800))
}

// Guards against a call that runs twice: the first attempt ran, its response was
// lost, and the router mistook the unknown outcome for a refusal and retried.
func TestOnlyProvablyNotRunIsRetried(t *testing.T) {
	g := NewWithT(t)
	g.Expect(RetryableElsewhere(nil)).To(BeFalse())
	g.Expect(RetryableElsewhere(types.NotRun(types.CodeOverloaded, 0, "full"))).To(BeTrue())
	g.Expect(RetryableElsewhere(types.NotRun(types.CodeLeaving, 0, "leaving"))).To(BeTrue())
	g.Expect(RetryableElsewhere(types.NotRun(types.CodeRateLimited, 0, "any server would refuse it"))).To(BeFalse())
	g.Expect(RetryableElsewhere(types.NotRun(types.CodeQuarantined, 0, "any server would refuse it"))).To(BeFalse())
	g.Expect(RetryableElsewhere(types.Invalid(http.StatusBadRequest, types.CodeBadRequest, "bad"))).To(BeFalse())
	for _, code := range []types.Code{types.CodeOverloaded, types.CodeLeaving, types.CodeUnknownOutcome} {
		g.Expect(RetryableElsewhere(types.Unknown(code, 0, "may have run"))).To(BeFalse(), string(code))
	}
}

func TestNextRetryKeepsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBudget(BudgetOptions{PerSecond: 1, Window: time.Second})
		refusal := types.NotRun(types.CodeOverloaded, 0, "full")
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()

		_, ok := b.NextRetry(short, refusal, 1, 2*time.Second)
		g.Expect(ok).To(BeFalse(), "a retry that can't complete before the deadline")
		wait, ok := b.NextRetry(short, refusal, 1, 100*time.Millisecond)
		g.Expect(ok).To(BeTrue(), "a retry denied for the deadline isn't charged to the budget")
		g.Expect(wait).To(BeNumerically("<=", BackoffBase))
		_, ok = b.NextRetry(short, refusal, 2, 100*time.Millisecond)
		g.Expect(ok).To(BeFalse(), "the budget is exhausted")

		g.Expect(Wait(short, time.Minute)).To(MatchError(context.DeadlineExceeded))
		g.Expect(FitsDeadline(short, 0, 0)).To(BeFalse())
		g.Expect(FitsDeadline(t.Context(), time.Hour, time.Hour)).To(BeTrue())
	})
}

// Guards against synchronized retries: callers that are shed at the same moment
// and retry at the same moment are shed again, so that an overload of a
// second lasts for minutes.
func TestRetryAfterIsSpread(t *testing.T) {
	g := NewWithT(t)
	const callers = 200_000 // enough that random variation of a slice stays below 15%
	const slice = 100 * time.Millisecond
	for _, load := range []float64{0, 1, 2, 4, 100} {
		window := retryAfterWindow(load)
		slices := map[time.Duration]int{}
		shortest, longest := RetryAfterMax, RetryAfterMin
		for range callers {
			d := RetryAfter(load)
			shortest, longest = min(shortest, d), max(longest, d)
			slices[d/slice]++
		}
		g.Expect(shortest).To(BeNumerically(">=", RetryAfterMin))
		g.Expect(longest).To(BeNumerically("<=", RetryAfterMin+window))
		g.Expect(longest).To(BeNumerically("<=", RetryAfterMax))
		peak := 0
		for _, n := range slices {
			peak = max(peak, n)
		}
		even := float64(callers) * float64(slice) / float64(window) // callers per slice if spread evenly
		g.Expect(float64(peak)).To(BeNumerically("<", 1.25*even), "load %v", load)
	}
	g.Expect(retryAfterWindow(2)).To(Equal(4 * time.Second))
	g.Expect(retryAfterWindow(100)).To(Equal(RetryAfterMax - RetryAfterMin))
}

func TestBackoffGrowsAndIsBounded(t *testing.T) {
	g := NewWithT(t)
	for n := 1; n < 100; n++ {
		g.Expect(Backoff(n)).To(BeNumerically("<=", BackoffMax))
	}
	g.Expect(exponential(BackoffBase, BackoffMax, 2)).To(Equal(4 * BackoffBase))
	g.Expect(exponential(BackoffBase, BackoffMax, 1000)).To(Equal(BackoffMax))
}
