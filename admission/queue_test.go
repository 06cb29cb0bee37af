package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// order returns the names of waiting streams in the order in which they start.
func order(q *Queue, names map[*Ticket]string) []string {
	var out []string
	for _, t := range q.waiting {
		out = append(out, names[t])
	}
	return out
}

func TestOrderOfWaitingStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	q, names := &Queue{}, map[*Ticket]string{}
	enter := func(name string, rank int, after time.Duration, change func(*Offer)) *Ticket {
		o := offerOf(rank)
		o.Arrived = epoch.Add(after)
		if change != nil {
			change(&o)
		}
		ticket := q.Enter(o, epoch)
		names[ticket] = name
		return ticket
	}
	enter("least", 2, 0, nil)
	enter("second", 1, 1, nil)
	first := enter("first", 0, 3, nil)
	enter("earlier", 0, 2, nil)
	enter("back", 1, 5, func(o *Offer) { o.Returns = true })
	enter("turned away", 0, 4, func(o *Offer) { o.Retried = true })
	g.Expect(order(q, names)).To(gomega.Equal([]string{"turned away", "earlier", "first", "back", "second", "least"}))
	g.Expect(q.Waiting()).To(gomega.Equal([]int{3, 2, 1}))
	first.Leave()
	first.Leave() // a second time has no effect
	g.Expect(order(q, names)).To(gomega.Equal([]string{"turned away", "earlier", "back", "second", "least"}))
}

// Guards against a stream that only few servers may run, and that holds up all behind it.
func TestBoundStreamHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	bound := offerOf(0)
	bound.Bound = true
	q.Enter(bound, epoch)
	next := q.Enter(offerOf(1), epoch)
	g.Expect(next.IsNext()).To(gomega.BeTrue())
	d, _ := next.Decide(behind(0), epoch)
	g.Expect(d.Verdict).To(gomega.Equal(Start))
}

// Guards against a bound stream that is refused since others of its class can't start.
func TestBoundStreamIsNotRefusedForOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	q.Enter(offerOf(2), epoch).Decide(behind(2*time.Second), epoch)
	later := epoch.Add(time.Second)
	q.Enter(offerOf(2), epoch).Decide(behind(2*time.Second), later)
	q.classes[2].closedAt = epoch.Add(-time.Minute)
	bound := offerOf(2)
	bound.Arrived, bound.Bound = later, true
	d, _ := q.Enter(bound, later).Decide(behind(2*time.Second), later)
	g.Expect(d.Verdict).To(gomega.Equal(Wait))
}

func TestNextStreamIsTold(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	first, second := q.Enter(offerOf(0), epoch), q.Enter(offerOf(0), epoch)
	g.Expect(second.IsNext()).To(gomega.BeFalse())
	first.Leave()
	g.Expect(second.Turn()).To(gomega.Receive())
	g.Expect(second.IsNext()).To(gomega.BeTrue())
}

// servers is a site in simulated time, whose servers each read one prompt a second.
type servers struct {
	busyUntil []time.Time
}

func (s *servers) best(now time.Time) (int, Outlook) {
	at := 0
	for i, until := range s.busyUntil {
		if until.Before(s.busyUntil[at]) {
			at = i
		}
	}
	return at, behind(max(0, s.busyUntil[at].Sub(now)))
}

func (s *servers) add(at int, now time.Time) {
	if s.busyUntil[at].Before(now) {
		s.busyUntil[at] = now
	}
	s.busyUntil[at] = s.busyUntil[at].Add(time.Second)
}

// tally is what became of the streams of a class.
type tally struct {
	offered, inTime, late, refused int
	refusedAfter                   time.Duration // the longest wait before a refusal
}

func (t tally) share() float64 { return float64(t.inTime) / float64(t.offered) }

// policy is how a simulated process orders its streams.
type policy struct {
	name string
	// offer changes an offer before it is looked at.
	offer func(o Offer, now time.Time) Offer
	kept  bool
}

// simulate offers streams of each class at a rate a second to some servers through one queue
// for a minute, and returns what became of those of each class.
func simulate(p policy, count int, rates [3]float64) [3]tally {
	const step, length = 25 * time.Millisecond, time.Minute
	site := &servers{busyUntil: make([]time.Time, count)}
	q := &Queue{}
	var out [3]tally
	var waiting []*Ticket
	var due [3]float64
	for now := epoch; now.Before(epoch.Add(length)); now = now.Add(step) {
		for rank, rate := range rates {
			for due[rank] += rate * step.Seconds(); due[rank] >= 1; due[rank]-- {
				o := offerOf(rank)
				o.Arrived = now
				out[rank].offered++
				waiting = append(waiting, q.Enter(o, now))
			}
		}
		waiting = look(q, site, waiting, &out, p, now)
	}
	return out
}

// look decides on the streams until none starts or is refused.
func look(q *Queue, site *servers, waiting []*Ticket, out *[3]tally, p policy, now time.Time) []*Ticket {
	for again := true; again; {
		again = false
		var left []*Ticket
		for _, ticket := range waiting {
			if p.offer != nil {
				ticket.Leave()
				ticket = q.Enter(p.offer(ticket.offer, now), now)
			}
			if !p.kept {
				for i := range q.classes {
					q.classes[i].kept = 0
				}
			}
			at, l := site.best(now)
			d, _ := ticket.Decide(l, now)
			o := ticket.offer
			class := &out[classOf(o)]
			switch d.Verdict {
			case Wait:
				left = append(left, ticket)
				continue
			case Start:
				site.add(at, now)
				if now.Sub(o.Arrived)+l.First <= o.Objective {
					class.inTime++
				} else {
					class.late++
				}
			case Refuse:
				class.refused++
				class.refusedAfter = max(class.refusedAfter, now.Sub(o.Arrived))
			}
			again = true
		}
		waiting = left
	}
	return waiting
}

// classOf returns the class of a stream by its objective, whatever its rank has become.
func classOf(o Offer) int {
	return map[time.Duration]int{4 * time.Second: 0, 5 * time.Second: 1, 10 * time.Second: 2}[o.Objective]
}

var (
	keptPolicy   = policy{name: "kept share", kept: true}
	strictPolicy = policy{name: "strict order"}
	ageingPolicy = policy{name: "ageing", offer: func(o Offer, now time.Time) Offer {
		o.Rank = max(0, classOf(o)-int(2*now.Sub(o.Arrived)/o.Objective))
		if o.Rank == 0 {
			o.UrgentObjective = 0
		}
		return o
	}}
)

// A least urgent class brings three times what the servers read. The other classes together
// need half of them.
func TestBurstOfTheLeastUrgentDelaysNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	out := simulate(keptPolicy, 10, [3]float64{2, 3, 30})
	t.Logf("%+v", out)
	g.Expect(out[0].share()).To(gomega.BeNumerically(">=", 0.99))
	g.Expect(out[1].share()).To(gomega.BeNumerically(">=", 0.97))
	g.Expect(out[2].inTime).To(gomega.BeNumerically(">", 200), "what is left of the servers' time serves the least urgent")
	g.Expect(out[0].late + out[1].late + out[2].late).To(gomega.BeZero())
}

// The most urgent class alone brings twice what the servers read.
func TestNobodyStarvesUnderLastingOverload(t *testing.T) {
	shares := map[string][3]tally{}
	for _, p := range []policy{keptPolicy, strictPolicy, ageingPolicy} {
		shares[p.name] = simulate(p, 10, [3]float64{20, 3, 3})
		t.Logf("%s: %+v", p.name, shares[p.name])
	}
	g := gomega.NewWithT(t)
	kept := shares["kept share"]
	for rank := 1; rank < 3; rank++ {
		g.Expect(kept[rank].inTime).To(gomega.BeNumerically(">=", 20), "rank %d gets a share", rank)
	}
	g.Expect(kept[0].inTime).To(gomega.BeNumerically(">=", 450), "the most urgent class gets most")
	for _, other := range []string{"strict order", "ageing"} {
		g.Expect(shares[other][2].inTime).To(gomega.BeNumerically("<", kept[2].inTime), other)
	}
}

func TestWhoIsRefusedWasRefusedSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	out := simulate(keptPolicy, 10, [3]float64{15, 15, 15})
	t.Logf("%+v", out)
	for rank, c := range out {
		g.Expect(c.refused).NotTo(gomega.BeZero(), fmt.Sprint(rank))
		g.Expect(c.late).To(gomega.BeZero(), fmt.Sprint(rank))
	}
	g.Expect(out[0].refusedAfter).To(gomega.BeNumerically("<=", 400*time.Millisecond))
}

// Guards against a queue that refuses on while there is room, since it was long.
func TestQueueOpensAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	now := epoch
	for range 100 {
		ticket := q.Enter(offerOf(2), now)
		ticket.Decide(behind(5*time.Second), now)
		ticket.Leave()
		now = now.Add(100 * time.Millisecond)
	}
	o := offerOf(2)
	o.Arrived = now
	refused, _ := q.Enter(o, now).Decide(behind(2*time.Second), now)
	g.Expect(refused.Verdict).To(gomega.Equal(Refuse), "its class could not start for ten seconds")
	open := q.Enter(o, now)
	d, _ := open.Decide(behind(time.Second), now)
	g.Expect(d.Verdict).To(gomega.Equal(Start))
	next := q.Enter(o, now)
	d, _ = next.Decide(behind(2*time.Second), now)
	g.Expect(d.Verdict).To(gomega.Equal(Wait))
}

// Guards against a class that is taken to be unable to start long after that was last seen.
func TestOldKnowledgeOfAClassIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	for _, after := range []time.Duration{0, 450, 900, 1350, 1800} {
		ticket := q.Enter(offerOf(2), epoch)
		ticket.Decide(behind(2*time.Second), epoch.Add(after*time.Millisecond))
		ticket.Leave()
	}
	g.Expect(q.closedFor(2, epoch.Add(1800*time.Millisecond))).To(gomega.Equal(1800 * time.Millisecond))
	g.Expect(q.closedFor(2, epoch.Add(2350*time.Millisecond))).To(gomega.BeZero())
}

// Guards against a stream that has the next kept start, can't use it, and holds up more urgent
// ones.
func TestKeptStartThatCannotBeUsedHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	low := q.Enter(offerOf(2), epoch)
	low.Decide(behind(5*time.Second), epoch)
	q.classes[2].kept = 1
	d, _ := low.Decide(behind(5*time.Second), epoch)
	g.Expect(d.Verdict).To(gomega.Equal(Wait))
	d, l := q.Enter(offerOf(0), epoch).Decide(behind(time.Second), epoch)
	g.Expect(l.Ahead).To(gomega.BeZero())
	g.Expect(d.Verdict).To(gomega.Equal(Start))
	d, _ = low.Decide(behind(2500*time.Millisecond), epoch)
	g.Expect(d.Verdict).To(gomega.Equal(Start), "it starts once its kept start is of use")
}

// Guards against a large stream for which no server has memory, and smaller ones that wait
// behind it beside an idle server.
func TestStreamWithoutMemoryHoldsUpNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	q := &Queue{}
	large := q.Enter(offerOf(0), epoch)
	d, _ := large.Decide(Outlook{}, epoch)
	g.Expect(d.Verdict).To(gomega.Equal(Wait))
	d, _ = q.Enter(offerOf(2), epoch).Decide(behind(0), epoch)
	g.Expect(d.Verdict).To(gomega.Equal(Start))
	d, _ = large.Decide(behind(0), epoch)
	g.Expect(d.Verdict).To(gomega.Equal(Start))
}
