package retry

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sony/gobreaker/v2"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/event"
)

func TestCircuitOpensAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		events := event.Discard()
		c := NewCircuit(CircuitOptions{BackendServer: "runner-7", Recorder: events})
		fail(c, DefaultThreshold-1)
		c.Success()
		fail(c, DefaultThreshold-1)
		g.Expect(c.State()).To(Equal(Closed), "only consecutive failures count")
		fail(c, 1)
		g.Expect(c.State()).To(Equal(Open))
		g.Expect(c.Allow()).To(BeFalse())

		time.Sleep(DefaultOpenFor)
		g.Expect(c.State()).To(Equal(HalfOpen))
		g.Expect(allowedOf(c, 10)).To(Equal(1), "one probe")
		c.Failure()
		time.Sleep(DefaultOpenFor)
		g.Expect(c.Allow()).To(BeFalse(), "a failed probe doubles the open time")
		time.Sleep(DefaultOpenFor)
		g.Expect(c.Allow()).To(BeTrue())
		c.Success()
		g.Expect(allowedOf(c, 10)).To(Equal(10))
		g.Expect(events.Entries("")).To(HaveLen(2))
	})
}

// Guards against a circuit that stays half-open forever: a backend server freezes
// while it runs the probe and recovers later, but the probe never reports a
// result. The test also checks that gobreaker still stays half-open in this case.
func TestProbeWithoutResultTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := NewCircuit(CircuitOptions{})
		fail(c, DefaultThreshold)
		time.Sleep(DefaultOpenFor)
		g.Expect(c.Allow()).To(BeTrue(), "the probe that never reports a result")
		time.Sleep(DefaultProbeTimeout)
		g.Expect(allowedOf(c, 10)).To(Equal(1))

		breaker := gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{Timeout: DefaultOpenFor, ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= DefaultThreshold }})
		for range DefaultThreshold {
			done, err := breaker.Allow()
			g.Expect(err).NotTo(HaveOccurred())
			done(errors.New("failed"))
		}
		time.Sleep(DefaultOpenFor + time.Millisecond)
		_, err := breaker.Allow()
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Hour)
		_, err = breaker.Allow()
		g.Expect(err).To(MatchError(gobreaker.ErrTooManyRequests), "gobreaker never gives up a probe, which is why it isn't used; if this fails, replace Circuit by gobreaker")
	})
}

// Property: while the circuit isn't closed, it allows at most one request per
// elapsed OpenFor, the shorter of the two times after which a probe may start
// (OpenFor after a failure, ProbeTimeout after a probe without a result).
func TestCircuitBoundsProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		c := NewCircuit(CircuitOptions{Now: func() time.Time { return now }})
		fail(c, DefaultThreshold)
		began, allowed := now, 0
		for _, step := range rapid.SliceOf(rapid.IntRange(0, 2)).Draw(t, "steps") {
			switch step {
			case 0:
				if c.Allow() {
					allowed++
				}
			case 1:
				c.Failure()
			default:
				now = now.Add(700 * time.Millisecond)
			}
		}
		if limit := int(now.Sub(began) / DefaultOpenFor); allowed > limit {
			t.Fatalf("%d probes were allowed in %s, want at most %d", allowed, now.Sub(began), limit)
		}
	})
}

func TestCircuitConcurrent(t *testing.T) {
	g := NewWithT(t)
	var now atomic.Int64
	c := NewCircuit(CircuitOptions{Now: func() time.Time { return time.Unix(0, now.Load()) }})
	fail(c, DefaultThreshold)
	now.Add(int64(DefaultOpenFor))
	var allowed atomic.Int64
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() { allowed.Add(int64(allowedOf(c, 100))) })
	}
	wait.Wait()
	g.Expect(allowed.Load()).To(Equal(int64(1)))
}

func fail(c *Circuit, n int) {
	for range n {
		c.Failure()
	}
}

func allowedOf(c *Circuit, n int) int {
	allowed := 0
	for range n {
		if c.Allow() {
			allowed++
		}
	}
	return allowed
}

func BenchmarkCircuit(b *testing.B) {
	b.Run("Circuit", func(b *testing.B) {
		c := NewCircuit(CircuitOptions{})
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				c.Allow()
				c.Success()
			}
		})
	})
	b.Run("gobreaker", func(b *testing.B) {
		c := gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{})
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				done, _ := c.Allow()
				done(nil)
			}
		})
	})
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(BudgetOptions{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.RecordRequest()
			budget.Allow()
		}
	})
}
