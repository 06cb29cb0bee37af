package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pearyard/pearyard/types"
)

func fixed(n int) func() int { return func() int { return n } }

// expectEmpty checks that no request holds a slot or permit and that no trace of
// a waiting one is left.
func expectEmpty(g gomega.Gomega, l *Limiter) {
	g.Expect(l.slots.counts()).To(gomega.BeZero())
	g.Expect(l.slotWaiters.Load()).To(gomega.BeZero())
	g.Expect(l.parked).To(gomega.BeEmpty())
	g.Expect(l.waitingWeight).To(gomega.BeNumerically("~", 0, 1e-6))
	for class := range classes {
		g.Expect(l.heaps[class].queues).To(gomega.BeEmpty())
	}
	l.states.Range(func(_, value any) bool {
		g.Expect(value.(*state).inflight.Load()).To(gomega.BeZero())
		g.Expect(value.(*state).waiting.Load()).To(gomega.BeZero())
		return true
	})
}

// When long generations take all slots open to them, a short generation and a
// plain call of another organisation must start immediately, not minutes later.
func TestLongGenerationsLeaveSlotsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(Options{Capacity: fixed(20)})
		l.Apply([]OrganisationLimits{{Name: "large", Queued: 100}, {Name: "small", Queued: 5}})
		var held []*Ticket
		for range 60 {
			ticket, refusal := l.Reserve("large", Long, time.Time{})
			g.Expect(refusal).To(gomega.BeNil())
			held = append(held, ticket)
		}
		began := time.Now()
		for _, class := range []Class{Short, Plain} {
			release, refusal := l.Admit(t.Context(), "small", class)
			g.Expect(refusal).To(gomega.BeNil())
			defer release()
		}
		g.Expect(time.Since(began)).To(gomega.BeZero())
		// A long generation of the small organisation precedes the 45 that wait.
		next, _ := l.Reserve("small", Long, time.Time{})
		held[0].Release()
		<-next.Ready()
	})
}

// A request that waits for a slot must be refused by its deadline at the latest,
// and immediately if the queue is too long for its deadline.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(Options{Capacity: fixed(1)})
		l.Apply([]OrganisationLimits{{Name: "o", Queued: 3}})
		held, _ := l.Reserve("o", Plain, time.Time{})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		_, refusal := l.Admit(ctx, "o", Plain)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeDeadline))
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeNotRun))
		g.Expect(time.Since(began)).To(gomega.Equal(2 * time.Second))
		held.Release()
		expectEmpty(g, l)

		for range 20 { // makes the measured drain rate one slot per second
			held, _ = l.Reserve("o", Plain, time.Time{})
			time.Sleep(time.Second)
			held.Release()
			l.Refresh()
		}
		held, _ = l.Reserve("o", Plain, time.Time{})
		for range 3 {
			_, refusal = l.Reserve("o", Plain, time.Now().Add(time.Minute))
			g.Expect(refusal).To(gomega.BeNil())
		}
		_, full := l.Reserve("o", Plain, time.Now().Add(time.Minute))
		g.Expect(full.Code).To(gomega.Equal(types.CodeOverloaded))
		g.Expect(full.RetryAfter).To(gomega.BeNumerically("~", 4500*time.Millisecond, 1500*time.Millisecond))
		held.Release()
		began = time.Now()
		short, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, refusal = l.Admit(short, "o", Plain)
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(time.Since(began)).To(gomega.BeZero(), "two requests are ahead at one slot per second, so a wait of one second isn't enough")
	})
}

// Callers that are refused at the same instant get different Retry-After values,
// because they would be refused again if they all retried together. When each
// retries at its time, nearly all must be admitted.
func TestRetryAfterIsAccurateAndSpreadsRetries(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	l := New(Options{Now: func() time.Time { return now }})
	l.Apply([]OrganisationLimits{{Name: "o", RequestsPerSecond: 10, Burst: 1}})
	var retries []time.Time
	for range 101 {
		if _, refusal := l.Reserve("o", Short, time.Time{}); refusal != nil {
			g.Expect(refusal.Status).To(gomega.Equal(429))
			retries = append(retries, now.Add(refusal.RetryAfter))
		}
	}
	g.Expect(retries).To(gomega.HaveLen(100))
	slices.SortFunc(retries, time.Time.Compare)
	g.Expect(retries[99].Sub(retries[0])).To(gomega.BeNumerically(">", 8*time.Second))
	admitted := 0
	for _, now = range retries {
		if _, refusal := l.Reserve("o", Short, time.Time{}); refusal == nil {
			admitted++
		}
	}
	t.Logf("retries admitted: %d of 100", admitted)
	g.Expect(admitted).To(gomega.BeNumerically(">=", 90))
}

// When an organisation's concurrency limit is raised while its requests wait for
// it, running requests must still count, and a waiting one must start without a
// release.
func TestApplyKeepsRunningAndStartsWaiting(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(Options{Capacity: fixed(100)})
	l.Apply([]OrganisationLimits{{Name: "o", Concurrent: 2, Queued: 5}, {Name: "other"}})
	var tickets []*Ticket
	for range 4 {
		ticket, _ := l.Reserve("o", Short, time.Time{})
		tickets = append(tickets, ticket)
	}
	g.Expect(l.slotWaiters.Load()).To(gomega.BeZero(), "requests that wait for their organisation's limit don't compete for slots")
	l.Apply([]OrganisationLimits{{Name: "o", Concurrent: 3, Queued: 5}, {Name: "other"}})
	g.Expect(tickets[2].Ready()).To(gomega.BeClosed())
	g.Expect(tickets[3].Ready()).NotTo(gomega.BeClosed())
	tickets[0].Release()
	g.Expect(tickets[3].Ready()).To(gomega.BeClosed())
	for _, ticket := range tickets {
		ticket.Release()
	}
	expectEmpty(g, l)
}

// Property: for any order of reservations, releases (also repeated ones),
// abandoned waits and changes of limits, no request waits while a slot and a
// permit are free for it, and everything is released at the end.
func TestNoRequestWaitsBesideAFreeSlot(t *testing.T) {
	orgs := []types.Organisation{"a", "b", "c", "unknown"}
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		now := time.Now()
		capacity := 4
		l := New(Options{Now: func() time.Time { return now }, Capacity: func() int { return capacity }, Routers: fixed(2), DefaultQueued: 2})
		limits := func() []OrganisationLimits {
			return []OrganisationLimits{
				{Name: "a", Concurrent: rapid.IntRange(0, 6).Draw(t, "concurrent"), Queued: 8},
				{Name: "b", Weight: 3, Queued: 4, Priority: 1},
				{Name: "c", RequestsPerSecond: 4, Queued: 4},
			}
		}
		l.Apply(limits())
		var tickets []*Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1, 2:
				org := rapid.SampledFrom(orgs).Draw(t, "org")
				class := Class(rapid.IntRange(0, 2).Draw(t, "class"))
				if ticket, refusal := l.Reserve(org, class, time.Time{}); refusal == nil {
					tickets = append(tickets, ticket)
				}
			case 3, 4:
				if len(tickets) > 0 {
					rapid.SampledFrom(tickets).Draw(t, "ticket").Release()
				}
			case 5:
				now = now.Add(300 * time.Millisecond)
				capacity = rapid.IntRange(1, 8).Draw(t, "capacity")
				l.AddReports([]Report{{Router: "other", Complete: true, Organisations: []Usage{l.Usage(1).first()}}})
			case 6:
				l.Apply(limits())
			}
			for _, ticket := range tickets {
				if !ticket.done.Load() && ticket.position != nil {
					sh := l.shareOf(ticket.st, now)
					permitted := sh.concurrent < 0 || int(ticket.st.inflight.Load()) < sh.concurrent
					g.Expect(permitted && l.slots.counts().fits(ticket.class, capacity)).To(gomega.BeFalse(), "waits while a slot is free")
				}
			}
		}
		for _, ticket := range tickets {
			ticket.Release()
			ticket.Release()
		}
		expectEmpty(g, l)
	})
}

// first returns the usage of the first organisation, or an example if there is
// none.
func (r Report) first() Usage {
	if len(r.Organisations) == 0 {
		return Usage{Organisation: "a", Wanted: 3, Peak: 2, Pressed: true}
	}
	return r.Organisations[0]
}

// Many callers acquire, abandon and release concurrently, through the fast path
// and the queue. At no time may more slots be held than the capacity.
func TestConcurrentUse(t *testing.T) {
	g := gomega.NewWithT(t)
	const capacity = 8
	l := New(Options{Capacity: fixed(capacity)})
	l.Apply([]OrganisationLimits{{Name: "a", Queued: 20, Concurrent: 3}, {Name: "b", Queued: 20}})
	var held, peak, served atomic.Int64
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			org := types.Organisation([]string{"a", "b"}[i%2])
			for range 300 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(4000))*time.Microsecond)
				release, refusal := l.Admit(ctx, org, Class(rand.IntN(3)))
				if refusal == nil {
					peak.Store(max(peak.Load(), held.Add(1)))
					runtime.Gosched()
					held.Add(-1)
					served.Add(1)
					release()
				}
				cancel()
			}
		})
	}
	callers.Wait()
	g.Expect(peak.Load()).To(gomega.BeNumerically("<=", capacity))
	g.Expect(served.Load()).To(gomega.BeNumerically(">", 0))
	expectEmpty(g, l)
}

const manyOrganisations = 48000

func manyLimits() []OrganisationLimits {
	out := make([]OrganisationLimits, manyOrganisations)
	for i := range out {
		out[i] = OrganisationLimits{
			Name: types.Organisation(fmt.Sprint("organisation-", i)), RequestsPerSecond: 1e6, Burst: 1e6, Concurrent: 1e6, Queued: 100,
		}
	}
	return out
}

func BenchmarkAdmit(b *testing.B) {
	l := New(Options{Capacity: fixed(100000)})
	limits := manyLimits()
	l.Apply(limits)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rng := rand.New(rand.NewPCG(rand.Uint64(), 1))
		for pb.Next() {
			release, refusal := l.Admit(context.Background(), limits[rng.IntN(manyOrganisations)].Name, Short)
			if refusal != nil {
				b.Fatal(refusal)
			}
			release()
		}
	})
}

func BenchmarkMemoryOf48000(b *testing.B) {
	heapNow := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		limits := manyLimits()
		before := heapNow()
		l := New(Options{Capacity: fixed(100000)})
		l.Apply(limits)
		named := heapNow()
		for i := range limits {
			ticket, _ := l.Reserve(limits[i].Name, Short, time.Time{})
			ticket.Release()
		}
		b.ReportMetric((named-before)/(1<<20), "MB_named")
		b.ReportMetric((heapNow()-before)/(1<<20), "MB_all_seen")
		began := time.Now()
		l.Usage(100)
		b.ReportMetric(float64(time.Since(began).Microseconds()), "us_usage")
		runtime.KeepAlive(limits)
		runtime.KeepAlive(l)
	}
}
