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

// expectEmpty checks that nothing is held, waits or is remembered as waiting.
func expectEmpty(g gomega.Gomega, l *Limiter) {
	g.Expect(l.slots.counts()).To(gomega.BeZero())
	g.Expect(l.pressure.Load()).To(gomega.BeZero())
	g.Expect(l.parked).To(gomega.BeEmpty())
	g.Expect(l.waitingWeight).To(gomega.BeNumerically("~", 0, 1e-6))
	for class := range classes {
		g.Expect(l.heaps[class].lines).To(gomega.BeEmpty())
	}
	l.states.Range(func(_, value any) bool {
		g.Expect(value.(*state).inflight.Load()).To(gomega.BeZero())
		g.Expect(value.(*state).waiting.Load()).To(gomega.BeZero())
		return true
	})
}

// Long generations fill all that they may. A short one and a plain call of
// another organisation come and must start at once, not in minutes.
func TestLongGenerationsDontHoldUpShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(Options{Capacity: fixed(20)})
		l.Apply([]OrganisationLimits{{Name: "large", Queued: 100}, {Name: "small", Queued: 5}})
		var held []*Ticket
		for range 60 {
			ticket, refusal := l.Start("large", Long, time.Time{})
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
		// A long one of the small organisation is next, before the 45 that wait.
		next, _ := l.Start("small", Long, time.Time{})
		held[0].Release()
		<-next.Ready()
	})
}

// A caller waits with two seconds left. No slot comes free: it must hear so at
// its deadline at the latest, and at once when the queue can't be served in time.
func TestWaitEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		l := New(Options{Capacity: fixed(1)})
		l.Apply([]OrganisationLimits{{Name: "o", Queued: 3}})
		held, _ := l.Start("o", Plain, time.Time{})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		_, refusal := l.Admit(ctx, "o", Plain)
		g.Expect(refusal.Code).To(gomega.Equal(types.CodeDeadline))
		g.Expect(refusal.Outcome).To(gomega.Equal(types.OutcomeNotRun))
		g.Expect(time.Since(began)).To(gomega.Equal(2 * time.Second))
		held.Release()
		expectEmpty(g, l)

		for range 20 { // one slot free each second
			held, _ = l.Start("o", Plain, time.Time{})
			time.Sleep(time.Second)
			held.Release()
			l.Kick()
		}
		held, _ = l.Start("o", Plain, time.Time{})
		for range 3 {
			_, refusal = l.Start("o", Plain, time.Now().Add(time.Minute))
			g.Expect(refusal).To(gomega.BeNil())
		}
		_, full := l.Start("o", Plain, time.Now().Add(time.Minute))
		g.Expect(full.Code).To(gomega.Equal(types.CodeOverloaded))
		g.Expect(full.RetryAfter).To(gomega.BeNumerically("~", 4500*time.Millisecond, 1500*time.Millisecond))
		held.Release()
		began = time.Now()
		short, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, refusal = l.Admit(short, "o", Plain)
		g.Expect(refusal).NotTo(gomega.BeNil())
		g.Expect(time.Since(began)).To(gomega.BeZero(), "two wait already, one slot a second: no use in waiting one second")
	})
}

// A hundred callers are turned away in one instant, each with its own time. If
// all returned together they would be turned away again; when each keeps its
// time, nearly all are let in.
func TestRetryAfterIsHonestAndSpreadsTheReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	l := New(Options{Now: func() time.Time { return now }})
	l.Apply([]OrganisationLimits{{Name: "o", RequestsPerSecond: 10, Burst: 1}})
	var back []time.Time
	for range 101 {
		if _, refusal := l.Start("o", Short, time.Time{}); refusal != nil {
			g.Expect(refusal.Status).To(gomega.Equal(429))
			back = append(back, now.Add(refusal.RetryAfter))
		}
	}
	g.Expect(back).To(gomega.HaveLen(100))
	slices.SortFunc(back, time.Time.Compare)
	g.Expect(back[99].Sub(back[0])).To(gomega.BeNumerically(">", 8*time.Second))
	let := 0
	for _, now = range back {
		if _, refusal := l.Start("o", Short, time.Time{}); refusal == nil {
			let++
		}
	}
	t.Logf("let in on return: %d of 100", let)
	g.Expect(let).To(gomega.BeNumerically(">=", 90))
}

// The operators raise an organisation's bound while its requests wait for it.
// What runs must still count, and one that waits must start without a release.
func TestApplyKeepsWhatRunsAndWakesWhatWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	l := New(Options{Capacity: fixed(100)})
	l.Apply([]OrganisationLimits{{Name: "o", Concurrent: 2, Queued: 5}, {Name: "other"}})
	var tickets []*Ticket
	for range 4 {
		ticket, _ := l.Start("o", Short, time.Time{})
		tickets = append(tickets, ticket)
	}
	g.Expect(l.pressure.Load()).To(gomega.BeZero(), "waiting for its own bound is no pressure on others")
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

// Whatever is started, released twice, given up or re-applied in any order: no
// more is held than there are slots, none waits beside a slot that it may have,
// and at the end all is given back.
func TestReleaseAlwaysGivesBack(t *testing.T) {
	orgs := []types.Organisation{"a", "b", "c", "made-up"}
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		now := time.Now()
		capacity := 4
		l := New(Options{Now: func() time.Time { return now }, Capacity: func() int { return capacity }, Routers: fixed(2), UnnamedQueued: 2})
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
				if ticket, refusal := l.Start(org, class, time.Time{}); refusal == nil {
					tickets = append(tickets, ticket)
				}
			case 3, 4:
				if len(tickets) > 0 {
					rapid.SampledFrom(tickets).Draw(t, "ticket").Release()
				}
			case 5:
				now = now.Add(300 * time.Millisecond)
				capacity = rapid.IntRange(1, 8).Draw(t, "capacity")
				l.Peer([]Report{{Router: "other", Complete: true, Organisations: []Usage{l.Usage(1).first()}}})
			case 6:
				l.Apply(limits())
			}
			for _, ticket := range tickets {
				if !ticket.done.Load() && ticket.spot != nil {
					sh := l.shareOf(ticket.st, now)
					room := sh.concurrent < 0 || int(ticket.st.inflight.Load()) < sh.concurrent
					g.Expect(room && l.slots.counts().fits(ticket.class, capacity)).To(gomega.BeFalse(), "waits beside a free slot")
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

func (r Report) first() Usage {
	if len(r.Organisations) == 0 {
		return Usage{Organisation: "a", Wanted: 3, Peak: 2, Pressed: true}
	}
	return r.Organisations[0]
}

// Many callers come, give up and go at once, through the fast path and the queue.
func TestConcurrentUse(t *testing.T) {
	g := gomega.NewWithT(t)
	const capacity = 8
	l := New(Options{Capacity: fixed(capacity)})
	l.Apply([]OrganisationLimits{{Name: "a", Queued: 20, Concurrent: 3}, {Name: "b", Queued: 20}})
	var held, most, served atomic.Int64
	var callers sync.WaitGroup
	for i := range 32 {
		callers.Go(func() {
			org := types.Organisation([]string{"a", "b"}[i%2])
			for range 300 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(4000))*time.Microsecond)
				release, refusal := l.Admit(ctx, org, Class(rand.IntN(3)))
				if refusal == nil {
					most.Store(max(most.Load(), held.Add(1)))
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
	g.Expect(most.Load()).To(gomega.BeNumerically("<=", capacity))
	g.Expect(served.Load()).To(gomega.BeNumerically(">", 0))
	expectEmpty(g, l)
}

const manyOrganisations = 48000

func many() []OrganisationLimits {
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
	limits := many()
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
		limits := many()
		before := heapNow()
		l := New(Options{Capacity: fixed(100000)})
		l.Apply(limits)
		named := heapNow()
		for i := range limits {
			ticket, _ := l.Start(limits[i].Name, Short, time.Time{})
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
