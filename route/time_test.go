package route

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pearyard/pearyard/event"
	"github.com/pearyard/pearyard/types"
)

// Guards against overload of a returning zone: its backend servers have empty
// caches and no load, so every router prefers them at once. They would be flooded
// with prefills, callers would wait many seconds for a first token, and the zone
// would be lost again.
func TestSlowStartAfterReturn(t *testing.T) {
	for _, name := range []string{LeastLoad, PowerOfTwo, PrefixAffinity} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				p := mustPolicy(name, Options{})
				without := NewView(nil, members(12, 1)[:9], time.Now())
				loadAll(without, 10, 30*time.Millisecond, time.Now())
				v := NewView(without, members(12, 1), time.Now())
				back := v.Candidates()[9:]

				for range 24 {
					send(p, &Query{}, v)
				}
				for _, c := range back {
					g.Expect(c.Stats.InFlight()).To(BeNumerically("<=", 2), "right after the return")
				}
				time.Sleep(DefaultTuning().SlowStart)
				loadAll(v, 10, 30*time.Millisecond, time.Now())
				for _, c := range back {
					c.Stats.Report(types.Load{Running: c.Stats.InFlight(), At: time.Now()})
				}
				for range 48 {
					send(p, &Query{}, v)
				}
				total := 0
				for _, c := range back {
					total += c.Stats.InFlight()
				}
				g.Expect(total).To(BeNumerically(">=", 12), "after the slow start they must get their share and more")
			})
		})
	}
}

// Guards against a backend server that is alive and answers probes but decodes ten
// times slower, which would delay every token of its callers. It may get only
// occasional probe requests. Once fast again it must return to service, which only
// requests can show.
func TestSlowCandidateGetsOnlyProbes(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				events := event.Discard()
				p := mustPolicy(name, Options{Recorder: events})
				v := NewView(nil, members(9, 3), time.Now())
				loadAll(v, 0, 30*time.Millisecond, time.Now())
				slow := mustFind(v, "runner-0004")
				for range 20 {
					slow.Stats.ObserveStep(300 * time.Millisecond)
				}
				probes := requestsTo(p, v, slow, 200)
				g.Expect(probes).To(Equal(1), "one probe while it is idle")
				g.Expect(slow.Stats.Slow()).To(BeTrue())
				time.Sleep(2 * DefaultTuning().ProbeEvery)
				g.Expect(requestsTo(p, v, slow, 200)).To(Equal(1), "one more probe after ProbeEvery")

				for range 20 {
					slow.Stats.ObserveStep(30 * time.Millisecond)
				}
				time.Sleep(time.Second)
				g.Expect(requestsTo(p, v, slow, 200)).To(BeNumerically(">", 5))
				g.Expect(events.Entries("")).To(HaveLen(2))
			})
		})
	}
}

// requestsTo returns how many of n requests, each ending at once, go to c.
func requestsTo(p Policy, v *View, c *Candidate, n int) int {
	count := 0
	for i := range n {
		q := &Query{Blocks: promptBlocks(string(rune(i)), 2)}
		got, _ := p.Pick(q, v)
		if got == c {
			count++
		}
		d := got.Begin(q)
		d.End()
	}
	return count
}

// Guards against a request of minutes that is used as a probe: it would be held up
// at a backend server that decodes much slower.
func TestLongRequestIsNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		v := NewView(nil, members(5, 1), time.Now())
		loadAll(v, 0, 30*time.Millisecond, time.Now())
		slow := v.Candidates()[0]
		slow.Stats.ObserveStep(10 * time.Second)
		p := mustPolicy(LeastLoad, Options{})
		for range 50 {
			c, _ := p.Pick(&Query{Long: true}, v)
			g.Expect(c).NotTo(Equal(slow))
		}
	})
}

// Guards against a backend server whose reports stop after one that said it was
// idle: all new requests would go there, because the others report their load.
func TestStaleReportDoesNotAttractAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := mustPolicy(LeastLoad, Options{})
		v := NewView(nil, members(10, 1), time.Now())
		loadAll(v, 0, 0, time.Now())
		silent := v.Candidates()[0]
		time.Sleep(time.Minute)
		for _, c := range v.Candidates()[1:] {
			c.Stats.Report(types.Load{Running: 8, At: time.Now()})
		}
		for range 50 {
			send(p, &Query{}, v)
		}
		g.Expect(silent.Stats.InFlight()).To(BeNumerically("<=", 7), "a fresh report of no load would attract 8 or more")
	})
}

func TestReportOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	var s Stats
	s.Report(types.Load{Running: 5, At: testEpoch.Add(time.Second)})
	s.Report(types.Load{Running: 1, At: testEpoch})
	running, at := s.Reported()
	g.Expect(running).To(Equal(5))
	g.Expect(at).To(BeTemporally("==", testEpoch.Add(time.Second)))
}

func TestFailPenaltyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := mustPolicy(LeastLoad, Options{})
		v := NewView(nil, members(2, 1), time.Now())
		failed := v.Candidates()[0]
		failed.Stats.RecordFailure(time.Now())
		for range 20 {
			c, _ := p.Pick(&Query{}, v)
			g.Expect(c).NotTo(Equal(failed))
		}
		time.Sleep(DefaultTuning().FailPenalty + time.Second)
		g.Expect(requestsTo(p, v, failed, 40)).To(BeNumerically(">", 0))
	})
}
